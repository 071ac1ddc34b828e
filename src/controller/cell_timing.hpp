/// @file
/// Time limits of the messages between controllers of neighbouring cells.
#pragma once

#include "ports/outbox.hpp"

namespace wingtrail::controller {

/// Timeout of a message to a neighbouring cell. It can be short, because messages are repeated.
inline constexpr ports::Seconds kCellCallTimeout = 1.5;
/// A neighbour counts as reachable for this long after its last digest.
inline constexpr ports::Seconds kReachableWithin = 3.5;
/// The time after which the neighbour's digest accounts for an offer.
inline constexpr ports::Seconds kOfferInTransit = 2.0;

}  // namespace wingtrail::controller
