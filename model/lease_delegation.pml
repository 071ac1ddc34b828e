/* Leadership, custody and settling: two controllers, a worker, a task that must be gone from it before the leader
 * may start it elsewhere, and in time once its cancellation was told. What the model stands for, and what it leaves out, is in
 * README.md beside it. Each guard can be taken out by a definition (-DNO_...); the check must fail then.
 *
 * Every exchange may happen at any moment or never, so outages, cuts, crashed and frozen nodes need no events of
 * their own. Starts and grants travel on their own and may arrive at any later time. */

#define LEASE  1   /* of a worker */
#define CANCEL 2   /* a told cancellation's tasks are gone after that; less than SPAN + LEASE */
#ifdef AGREE
#define SPAN   2   /* of a consent */
#else
#define SPAN   3   /* of a grant */
#endif
#define OFFICE 2   /* the leader's lease of its key */
#ifndef LAST
#define LAST   6   /* time ends here */
#endif
#define OFFICES  2  /* leaderships, and restarts, in a run */
#define RESTARTS 1
#define OVER(t) (t + LEASE + 1)  /* a lease renewed at t is certainly over */

byte now = 1;
byte restarts = 0;
bool outage = false;
byte key_until = 0, key_token = 0;   /* the leader's key in the state service */

/* controllers */
byte token[2];          /* of the leadership it holds or held; 0: none */
byte auth[2];           /* orders leave before that */
byte newest[2];         /* the newest leadership that it knows of */
byte grant[2];          /* reports may be answered in custody before that */
byte grant_token[2];
byte asked[2];          /* a request for a grant is out since; 0: none */
byte answer_token[2];   /* and has been answered by this leadership; 0: not yet */
byte agreed[2];         /* the other has agreed that it may answer before that, for nobody leads */
byte spoke[2];          /* such an answer of the other is on its way, to a question of this time; 0: none */
byte spoke_of[2];       /* the newest leadership that the other knew of when it gave it */
byte held[2];           /* when it last answered in custody; 0: never */
byte born[2];

/* the present leader's account; a take-over begins it anew */
byte until;             /* the other controller may answer until then */
byte mine;              /* of that, by a grant of this leadership */
byte vouched;           /* all it did before is known */
byte renewed;           /* of that: when it may have answered last; 0: never */
byte own;               /* when the worker's lease ends, for all that this leader did */
bool known;              /* the worker's session is the one that the leader has heard of */
bool settled;
bool doubt;          /* the task may be there */
bool wanted;            /* its user wants it cancelled */
byte told;              /* when that was confirmed to the user; 0: not yet */

/* the worker */
byte lease;          /* alive up to then */
byte mandate;
bool has;
byte start;          /* a start with this token is under way to the worker; 0: none */

#define OTHER(n) (1 - n)
#ifdef NO_VOID
#define GRANT_HOLDS(n) true
#else
#define GRANT_HOLDS(n) (grant_token[n] == newest[n])
#endif
#define LEADS(n) (token[n] != 0 && token[n] == key_token)
#define ENTITLED(n) (token[n] != 0 && now < auth[n])

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

/* When the worker's lease is certainly over, as the leader reckons it. */
inline lease_end(end) {
  end = own;
  if :: renewed != 0 && OVER(renewed) > end -> end = OVER(renewed) :: else fi;
#ifndef NO_WORD
  if :: vouched < end && until != 0 && OVER(until) > end -> end = OVER(until) :: else fi
#endif
}

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
  wanted = false  /* the user asks again */
}

/* The worker answers its leader, or reports to it: what is on it is known, orders of earlier leaders are void. */
inline contact(n) {
  mandate = token[n];
  /* A session that is news began before now, and nobody has answered a report of it after now. */
  if :: LEADS(n) && !known && own < OVER(now) -> own = OVER(now) :: else fi;
  known = true;
  settled = true;
  if
  :: has -> doubt = true
  :: !has && start == token[n] ->  /* a start of this leadership that may still arrive */
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
  :: now > lease -> has = false; start = 0; known = false; lease = now + LEASE  /* the next session */
  :: else
  fi;
  /* What is past and matters no more is forgotten, so that states that differ in it alone are one. */
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

  /* offices */
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

  /* a restart: nothing is remembered */
  :: atomic { restarts < RESTARTS -> restarts = restarts + 1; select(n : 0 .. 1); token[n] = 0; auth[n] = 0; newest[n] = 0; grant[n] = 0; grant_token[n] = 0;
       asked[n] = 0; answer_token[n] = 0; agreed[n] = 0; spoke[n] = 0; spoke_of[n] = 0; held[n] = 0; born[n] = now; n = 0 }

#ifndef AGREE
  /* grants: asked for and answered at once, arrived at any later time */
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
  /* An outage: leases of the state service have their full time again after it, authority does not. */
  :: atomic { !outage && key_token != 0 && now < key_until -> outage = true; key_until = key_until + OFFICE }

  /* consent: the other may give no orders now. One that leads, but past its authority, puts it down. Given at once, it
   * arrives at any later time; it counts from the asking.
   * Only the second asks; either of the two may lead, agree, or have led. */
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

  /* the other controller's word */
  :: atomic { (ENTITLED(0) && LEADS(0)) || (ENTITLED(1) && LEADS(1)) ->
       if :: ENTITLED(0) && LEADS(0) -> n = 0 :: else -> n = 1 fi;
       hear(OTHER(n), token[n]);
#ifndef NO_RESTARTS_SEEN
       if
       :: born[OTHER(n)] != 0 && born[OTHER(n)] >= vouched ->  /* in steps of time: not before that word */
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

  /* a report to the leader, or its call to the worker */
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
  /* custody */
  :: atomic { select(n : 0 .. 1);
       if
       :: !ENTITLED(n) && now < grant[n] && GRANT_HOLDS(n) && mandate <= grant_token[n] ->
          mandate = grant_token[n]; lease = now + LEASE; held[n] = now;
          if :: LEADS(n) -> own = OVER(now) :: else fi
       :: else
       fi; n = 0 }

#endif

  /* the leader takes a lease for over */
  :: atomic { true; if :: LEADS(0) -> n = 0 :: else -> n = 1 fi;
       if
       :: LEADS(n) && ENTITLED(n) ->
          lease_end(end);
          if :: now >= end -> settled = true; doubt = false; known = false :: else fi
       :: else
       fi; n = 0; end = 0 }

  /* the task is started here; elsewhere it could be as well */
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

  /* a cancellation */
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

/* The leader may start the task elsewhere, while it is here or may still come here. */
#define two_places (((ENTITLED(0) && LEADS(0)) || (ENTITLED(1) && LEADS(1))) && settled && !doubt && \
                    (has || (start != 0 && start >= mandate)))
#define two_givers (ENTITLED(0) && ENTITLED(1))
#define too_long   (told != 0 && now > told + CANCEL && has)
/* From the confirmation on nothing is there, and nothing that is under way can come to be there. */
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
