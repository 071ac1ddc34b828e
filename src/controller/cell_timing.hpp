/// @file
/// Time limits of what the controllers of neighbouring cells say to each other.
#pragma once

#include "ports/outbox.hpp"

namespace wingtrail::controller {

/// Of a query to a neighbouring cell, which is repeated anyway.
inline constexpr ports::Seconds kCellCallTimeout = 1.5;
/// A neighbour heard of within this time counts as reachable.
inline constexpr ports::Seconds kReachableWithin = 3.5;
/// From an offer until the neighbour's digest takes it into account.
inline constexpr ports::Seconds kOfferInTransit = 2.0;

}  // namespace wingtrail::controller
