/* Model of leader election, delegated lease renewal and reconciliation, with two controllers, one worker and one
 * task. Before the leader may start the task on another machine, it must be gone from the worker; after its
 * cancellation was confirmed it must be gone in time. README.md in this directory maps the names to the code and
 * lists the simplifications. Each guard can be removed by a definition, such as -DNO_VOID; the check must then fail.
 *
 * Every message exchange may happen at any moment or never. This covers outages, partitions, crashes and stalls, so
 * they need no events of their own. Starts and grants may arrive at any later time.
 *
 * Words used in names: office = leadership, order = command, custody = delegated lease renewal, consent = peer
 * agreement, settled = reconciled, told = confirmed to the user, over = expired. Durations are in steps of time. */

#define LEASE  1   /* duration of a worker lease */
#define CANCEL 2   /* time limit for the tasks to end after a confirmed cancellation; less than SPAN + LEASE */
#ifdef AGREE
#define SPAN   2   /* duration of a peer agreement */
#else
#define SPAN   3   /* duration of a grant */
#endif
#define OFFICE 2   /* duration of the leader lease */
#ifndef LAST
#define LAST   6   /* the run ends at this time */
#endif
#define OFFICES  2  /* number of leaderships in a run */
#define RESTARTS 1  /* number of controller restarts in a run */
#define OVER(t) (t + LEASE + 1)  /* when a lease that was renewed at t has certainly expired */

byte now = 1;
byte restarts = 0;
bool outage = false;
byte key_until = 0, key_token = 0;   /* end of the leader lease in the state service, and fencing token */

/* Controllers. */
byte token[2];          /* fencing token of its current or last leadership; 0: none */
byte auth[2];           /* it may send commands before this time */
byte newest[2];         /* the newest fencing token that it knows of */
byte grant[2];          /* it may renew worker leases by the leader's grant before this time */
byte grant_token[2];    /* fencing token of the leader that gave the grant */
byte asked[2];          /* when its request for a grant, now in flight, was sent; 0: none in flight */
byte answer_token[2];   /* fencing token of the leader that has replied to that request; 0: no reply yet */
byte agreed[2];         /* it may renew worker leases by the peer's agreement before this time */
byte spoke[2];          /* when the request was sent to which an agreement is in flight; 0: none in flight */
byte spoke_of[2];       /* the newest fencing token that the peer knew of when it gave that agreement */
byte held[2];           /* when it last renewed a lease by delegation; 0: never */
byte born[2];           /* when its process began; 0: at the beginning of the run */

/* The current leader's delegation ledger, and its state of the worker; reset by an election. */
byte until;             /* the peer may renew leases until this time */
byte mine;              /* the peer may renew leases until this time by a grant of this leadership */
byte vouched;           /* the peer's renewals before this time are known */
byte renewed;           /* the latest time before `vouched` at which the peer may have renewed; 0: never */
byte own;               /* when the worker lease expires, considering only this leader's renewals */
bool known;              /* the leader has had contact with the worker's current incarnation */
bool settled;           /* the worker is reconciled */
bool doubt;          /* the task may be on the worker */
bool wanted;            /* the user has requested the cancellation */
byte told;              /* when the cancellation was confirmed to the user; 0: not yet */

/* The worker. */
byte lease;          /* end of its lease */
byte mandate;        /* the newest fencing token that it knows of */
bool has;            /* the task is running on it */
byte start;          /* fencing token of a start in flight to the worker; 0: none */

#define OTHER(n) (1 - n)
#ifdef NO_VOID
#define GRANT_HOLDS(n) true
#else
#define GRANT_HOLDS(n) (grant_token[n] == newest[n])
#endif
#define LEADS(n) (token[n] != 0 && token[n] == key_token)
#define ENTITLED(n) (token[n] != 0 && now < auth[n])

/* Controller n learns of fencing token t. */
inline hear(n, t) {
  if
  :: t > newest[n] ->
     newest[n] = t;
#ifndef NO_VOID
     if :: grant_token[n] != t -> grant[n] = 0 :: else fi;
#endif
#ifndef AGREED_FOR_GOOD
     agreed[n] = 0
#endif
  :: else
  fi
}

/* Sets `end` to the time at which the leader considers the worker lease expired. */
inline lease_end(end) {
  end = own;
  if :: renewed != 0 && OVER(renewed) > end -> end = OVER(renewed) :: else fi;
#ifndef NO_WORD
  if :: vouched < end && until != 0 && OVER(until) > end -> end = OVER(until) :: else fi
#endif
}

/* Controller n is elected. */
inline take_office(n) {
  key_token = key_token + 1;
  token[n] = key_token;
#ifdef AUTHORITY_OUTLASTS
  auth[n] = now + OFFICE + 2;
#else
  auth[n] = now + OFFICE;
#endif
  key_until = now + OFFICE;
  hear(n, key_token);
#ifndef AGREE
  grant_token[n] = key_token; grant[n] = now + SPAN;
#endif
#ifdef NO_FENCE
  until = 0;
#else
  until = now + SPAN;
#endif
  mine = 0; vouched = 0; renewed = 0;
  own = OVER(now); known = false;
#ifdef NO_SETTLING
  settled = true; doubt = false;
#else
  settled = false; doubt = true;
#endif
  asked[n] = 0; answer_token[n] = 0;
  wanted = false  /* the user repeats the request */
}

/* The worker sends leader n a heartbeat or replies to its call: the leader learns what runs on it, and commands of
 * earlier leaders become void. */
inline contact(n) {
  mandate = token[n];
  /* An incarnation that is new to the leader began before now, and its lease cannot have been renewed after now. */
  if :: LEADS(n) && !known && own < OVER(now) -> own = OVER(now) :: else fi;
  known = true;
  settled = true;
  if
  :: has -> doubt = true
  :: !has && start == token[n] ->  /* a start command of this leadership may still arrive */
#ifdef FORGET_DOUBT
     doubt = false
#else
     doubt = true
#endif
  :: else -> doubt = false
  fi
}

inline tick() {
  now = now + 1;
  if
  :: now > lease -> has = false; start = 0; known = false; lease = now + LEASE  /* the next incarnation */
  :: else
  fi;
  /* Values in the past that have no effect any more are reset, to merge states that differ only in them. */
  for (w : 0 .. 1) {
    if :: auth[w] <= now -> auth[w] = 0 :: else fi;
    if :: grant[w] <= now -> grant[w] = 0; grant_token[w] = 0 :: else fi;
    if :: agreed[w] <= now -> agreed[w] = 0 :: else fi;
    if :: spoke[w] + SPAN <= now -> spoke[w] = 0; spoke_of[w] = 0 :: else fi;
    if :: held[w] != 0 && OVER(held[w]) < now -> held[w] = 0 :: else fi;
    if :: born[w] != 0 && OVER(born[w]) < now -> born[w] = 0 :: else fi;
    if :: asked[w] + SPAN <= now -> asked[w] = 0; answer_token[w] = 0 :: else fi
  }
  if :: settled && !doubt && !known -> own = 0 :: else fi;
  if :: renewed != 0 && OVER(renewed) <= own -> renewed = 0 :: else fi;
  if :: until != 0 && OVER(until) < now -> until = 0 :: else fi;
  if :: mine <= now -> mine = 0 :: else fi
}

active proctype system() {
  byte n, w, end;
  lease = now + LEASE;
  do
  :: atomic { now < LAST -> tick(); n = 0; w = 0; end = 0 }

  /* Election, and renewal of the leader lease. */
  :: atomic { now >= key_until && key_token < OFFICES -> select(n : 0 .. 1);
       take_office(n); n = 0; end = 0 }
  :: atomic { key_token != 0 && now < key_until -> if :: LEADS(0) -> n = 0 :: else -> n = 1 fi;
       if
       :: LEADS(n) ->
#ifdef AUTHORITY_OUTLASTS
          auth[n] = now + OFFICE + 2;
#else
          auth[n] = now + OFFICE;
#endif
#ifndef AGREE
          grant[n] = now + SPAN;
#endif
          key_until = now + OFFICE
       :: else
       fi; n = 0; end = 0 }

  /* A controller restarts and loses all its state. */
  :: atomic { restarts < RESTARTS -> restarts = restarts + 1; select(n : 0 .. 1); token[n] = 0; auth[n] = 0; newest[n] = 0; grant[n] = 0; grant_token[n] = 0;
       asked[n] = 0; answer_token[n] = 0; agreed[n] = 0; spoke[n] = 0; spoke_of[n] = 0; held[n] = 0; born[n] = now; n = 0 }

#ifndef AGREE
  /* Grants: the leader replies to the request at once, and the reply arrives at any later time. */
  :: atomic { select(n : 0 .. 1);
       if
       :: ENTITLED(OTHER(n)) && LEADS(OTHER(n)) && asked[n] != now ->
          asked[n] = now; answer_token[n] = token[OTHER(n)];
          mine = now + SPAN; if :: mine > until -> until = mine :: else fi
       :: else
       fi; n = 0 }
  :: atomic { select(n : 0 .. 1);
       if
       :: answer_token[n] != 0 ->
          hear(n, answer_token[n]);
          if
          :: answer_token[n] == newest[n] ->
             grant_token[n] = newest[n];
#ifdef GRANT_FROM_ARRIVAL
             grant[n] = now + SPAN
#else
             grant[n] = asked[n] + SPAN
#endif
          :: else
          fi;
          asked[n] = 0; answer_token[n] = 0
       :: else
       fi; n = 0 }

#endif

#ifdef AGREE
  /* An outage of the state service: afterwards its leases last for their full duration again, but `auth`, the time
   * until which the leader may send commands, is not extended. */
  :: atomic { !outage && key_token != 0 && now < key_until -> outage = true; key_until = key_until + OFFICE }

  /* Peer agreement: the peer must not send commands now. A leader whose lease has expired records its agreement.
   * The peer replies at once, and the reply arrives at any later time; the agreement counts from the request.
   * Only the second controller sends requests; either of the two may lead, agree or have led. */
  :: atomic { n = 1;
       if
       :: spoke[n] != now &&
          !ENTITLED(OTHER(n)) ->
          if :: newest[n] > newest[OTHER(n)] -> hear(OTHER(n), newest[n]) :: else fi;
          spoke[n] = now; spoke_of[n] = newest[OTHER(n)];
#ifndef CONSENT_NOT_PUT_DOWN
          if :: LEADS(OTHER(n)) -> mine = now + SPAN; if :: mine > until -> until = mine :: else fi :: else fi
#endif
       :: else
       fi; n = 0 }
  :: atomic { n = 1;
       if
       :: spoke[n] != 0 ->
          hear(n, spoke_of[n]);
          if
#ifdef OLD_CONSENT_COUNTS
          :: true ->
#else
          :: spoke_of[n] == newest[n] ->
#endif
#ifdef CONSENT_FROM_ARRIVAL
             agreed[n] = now + SPAN
#else
             if :: spoke[n] + SPAN > agreed[n] -> agreed[n] = spoke[n] + SPAN :: else fi
#endif
          :: else
          fi;
          spoke[n] = 0; spoke_of[n] = 0
       :: else
       fi; n = 0 }
  :: atomic { n = 1;
       if
       :: !ENTITLED(n) && now < agreed[n] && mandate != 0 ->
          lease = now + LEASE; held[n] = now;
          if :: LEADS(n) -> own = OVER(now) :: else fi
       :: else
       fi; n = 0 }
#endif

  /* The peer's statement to the leader about its process and its last renewal. */
  :: atomic { (ENTITLED(0) && LEADS(0)) || (ENTITLED(1) && LEADS(1)) ->
       if :: ENTITLED(0) && LEADS(0) -> n = 0 :: else -> n = 1 fi;
       hear(OTHER(n), token[n]);
#ifndef NO_RESTARTS_SEEN
       if
       :: born[OTHER(n)] != 0 && born[OTHER(n)] >= vouched ->  /* not before the last statement; times are whole steps */
          if
          :: born[OTHER(n)] < until && born[OTHER(n)] > renewed -> renewed = born[OTHER(n)]
          :: born[OTHER(n)] >= until && until > renewed -> renewed = until
          :: else
          fi
       :: else
       fi;
#endif
#ifndef NO_HELD
       if :: held[OTHER(n)] > renewed -> renewed = held[OTHER(n)] :: else fi;
#endif
       vouched = now;
       until = mine;
       n = 0 }

  /* A heartbeat to the leader, or the leader's call to the worker. Its reply is lost, arrives and renews the lease,
   * or stops the task. */
  :: atomic { true; if :: ENTITLED(0) -> n = 0 :: else -> n = 1 fi;
       if
       :: ENTITLED(n) && mandate <= token[n] ->
          if
          :: contact(n); lease = now + LEASE;
             if :: LEADS(n) -> own = OVER(now) :: else fi
          :: contact(n)
          :: contact(n); if :: wanted && has -> has = false; doubt = (start == token[n]) :: else fi
          fi
       :: else
       fi; n = 0 }

#ifndef AGREE
  /* A controller renews the worker lease by the leader's grant. */
  :: atomic { select(n : 0 .. 1);
       if
       :: !ENTITLED(n) && now < grant[n] && GRANT_HOLDS(n) && mandate <= grant_token[n] ->
          mandate = grant_token[n]; lease = now + LEASE; held[n] = now;
          if :: LEADS(n) -> own = OVER(now) :: else fi
       :: else
       fi; n = 0 }

#endif

  /* The leader considers the worker lease expired. */
  :: atomic { true; if :: LEADS(0) -> n = 0 :: else -> n = 1 fi;
       if
       :: LEADS(n) && ENTITLED(n) ->
          lease_end(end);
          if :: now >= end -> settled = true; doubt = false; known = false :: else fi
       :: else
       fi; n = 0; end = 0 }

  /* The leader starts the task on this worker; it could as well start it on another machine. */
  :: atomic { true; if :: LEADS(0) -> n = 0 :: else -> n = 1 fi;
       if
       :: ENTITLED(n) && LEADS(n) && told == 0 && !wanted && settled && !doubt &&
          known && mandate == token[n] ->
          start = token[n]; doubt = true
       :: else
       fi; n = 0 }
  :: atomic { true;
       if
       :: start != 0 -> if :: start >= mandate -> has = true; mandate = start :: else fi; start = 0
       :: else
       fi }

  /* A cancellation is requested, and confirmed to the user. */
  :: atomic { told == 0 && key_token != 0 -> wanted = true }
  :: atomic { told == 0 && wanted -> if :: LEADS(0) -> n = 0 :: else -> n = 1 fi;
       if
       :: ENTITLED(n) && LEADS(n) &&
#ifdef TELL_AT_ONCE
          true
#else
          settled && !doubt
#endif
          -> told = now
       :: else
       fi; n = 0 }

  :: atomic { now >= LAST -> break }
  od
}

/* The leader may start the task on another machine while it is on the worker or a start of it may still arrive. */
#define two_places (((ENTITLED(0) && LEADS(0)) || (ENTITLED(1) && LEADS(1))) && settled && !doubt && \
                    (has || (start != 0 && start >= mandate)))
#define two_givers (ENTITLED(0) && ENTITLED(1))
#define too_long   (told != 0 && now > told + CANCEL && has)
/* After the confirmation the task is on the worker, or a start of it may still arrive. */
#define told_and_there (told != 0 && (has || (start != 0 && start >= mandate)))

active proctype watch() {
  atomic { two_places -> assert(false) }
}
active proctype watch_orders() {
  atomic { two_givers -> assert(false) }
}
active proctype watch_cancelled() {
  atomic { too_long || told_and_there -> assert(false) }
}
