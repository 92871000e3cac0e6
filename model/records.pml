/*
 * One batch job of two items in the platform's store (internal/jobrecord), with the disks of workers that keep it while the
 * store does not answer (internal/handoff). A call of the store may take effect with or without an answer, or later, if its
 * condition still holds then. The store may be away at any time. Leases lapse at any time, also while their holder goes on.
 * LOST disks are lost, at any time.
 *
 * The taking of the job and the recording of its results (-DRESULTS) are searched apart: they meet in the store alone.
 *
 * Seeded bugs (-D): ONE_COPY, REMOVE_EARLY, BLIND_HANDOVER, PROMISE_UNKNOWN, NO_COMPARES, ASSUME_WRITTEN,
 * END_KEEPS_CLAIM. Without one of its two compares (claim, position) recording still holds: each alone is enough while a job
 * is open; the claim is what ends it.
 */
#ifndef LOST
#define LOST 1
#endif
#ifndef CLAIMS
#define CLAIMS 2
#endif
#define WORKERS 2

/* The store. */
bool header = false;
bool open = false;
bool ended = false;
byte claim = 0;          /* revision of the claim, 0 for none */
byte claims = 0;         /* revisions given so far */
byte result[2];          /* item at each position, 0 for none */

/* The disks. */
bool copy[WORKERS];
byte lossesLeft = LOST;

/* Calls that may still take effect. */
byte lateAccepts = 0;
byte lateClaim[WORKERS];    /* revision under which a result is to be written, 0 for none */
byte latePosition[WORKERS];
byte lateItem[WORKERS];

/* What a client was told, and what a reader saw. */
bool acknowledged = false;
bool promised = false;
byte seen[2];

inline accept() {
#ifdef BLIND_HANDOVER
    header = true; open = true
#else
    if
    :: !header -> header = true; open = true
    :: else
    fi
#endif
}

inline close_job() { open = false; claim = 0 }

/* Writes one result; the last one closes the job in the same transaction. */
inline append(revision, position, item, done) {
    done = false;
    if
#ifdef NO_COMPARES
    :: open ->
#else
    :: claim == revision && result[position] == 0 ->
#endif
        result[position] = item; done = true;
        if
        :: result[0] != 0 && result[1] != 0 -> close_job()
        :: else
        fi
    :: else
    fi
}

/* The node that takes the job from its client. */
proctype Front() {
    bool may = false;    /* the job may be somewhere */
    byte kept = 0;
    byte worker = 0;
    /* The store is asked first. */
    if
    :: true -> atomic { accept(); acknowledged = true }
    :: true -> atomic { accept(); may = true }      /* the answer is lost */
    :: atomic { lateAccepts++; may = true }
    :: skip                                         /* refused, or never sent */
    fi;
    if
    :: acknowledged -> goto told
    :: !acknowledged -> skip
    fi;
    /* Then workers are asked to keep it. */
    do
    :: worker < WORKERS ->
        if
        :: atomic { copy[worker] = true; kept++ }
        :: atomic { copy[worker] = true; may = true }   /* the answer is lost */
        :: skip                                         /* it refuses */
        fi;
        worker++
    :: worker >= WORKERS -> break
    od;
#ifdef ONE_COPY
#define NEEDED 1
#else
#define NEEDED (LOST + 1)
#endif
    if
    :: kept >= NEEDED -> acknowledged = true
    :: kept < NEEDED && kept == 0 && !may -> promised = true
#ifdef PROMISE_UNKNOWN
    :: kept < NEEDED -> promised = true
#endif
    :: kept < NEEDED && (kept > 0 || may) -> skip       /* told that the outcome is unknown */
    fi;
told:
    skip
}

/* Hands a kept job over. */
proctype Deliverer(byte me) {
end:
    do
    :: copy[me] ->
        if
        :: atomic { header -> copy[me] = false }
        :: atomic { !header -> skip };
#ifdef REMOVE_EARLY
            copy[me] = false;
#endif
            if
            :: true -> atomic { accept(); copy[me] = false }
            :: true -> atomic { accept() }              /* the answer is lost */
            :: atomic { lateAccepts < 2 -> lateAccepts++ }
            :: skip
            fi
        fi
    :: atomic { !copy[me] && (header || promised) -> break }
    od
}

/* Runs the job under claims, and records results in an order of its own. */
proctype Worker(byte me) {
    byte mine, position, item;
    bool done;
    do
    :: atomic { open && claim == 0 && claims < CLAIMS -> claims++; claim = claims; mine = claims };
        /* What was recorded before is read under the claim. */
        atomic {
            if
            :: result[0] == 0 -> position = 0; item = 1 + me
            :: else -> position = 1; item = 3 - result[0]
            fi
        };
        do
        :: true -> atomic { append(mine, position, item, done) };
            if
            :: !done -> break                           /* the claim is lost */
            :: done && position == 1 -> break
            :: done && position == 0 -> position = 1; item = 3 - item
            fi
        :: true -> atomic { append(mine, position, item, done); done = false };
            /* The answer is lost: the same comes again, and is seen as its own. */
            atomic {
                if
                :: result[position] == item -> skip
                :: else -> break
                fi
            };
            if
            :: position == 1 -> break
            :: else -> position = 1; item = 3 - item
            fi
        :: atomic { lateClaim[me] == 0 -> lateClaim[me] = mine; latePosition[me] = position; lateItem[me] = item };
#ifdef ASSUME_WRITTEN
            if
            :: position == 1 -> break
            :: else -> position = 1; item = 3 - item
            fi
#endif
        :: break                                        /* the process dies */
        od
    :: claims >= CLAIMS -> break
    :: atomic { ended || (result[0] != 0 && result[1] != 0) -> break }
    od
}

active proctype World() {
    bool ignored;
    byte endedWith[2];
end:
    do
    :: atomic { lateAccepts > 0 -> lateAccepts--; accept() }
    :: atomic { lateClaim[0] > 0 -> append(lateClaim[0], latePosition[0], lateItem[0], ignored); lateClaim[0] = 0; ignored = false }
    :: atomic { lateClaim[1] > 0 -> append(lateClaim[1], latePosition[1], lateItem[1], ignored); lateClaim[1] = 0; ignored = false }
    :: atomic { claim > 0 -> claim = 0 }                            /* a lease lapses */
    :: atomic { lossesLeft > 0 && copy[0] -> lossesLeft--; copy[0] = false }
    :: atomic { lossesLeft > 0 && copy[1] -> lossesLeft--; copy[1] = false }
    :: atomic { header && !ended ->                                 /* the client ends the job */
        ended = true; open = false;
#ifndef END_KEEPS_CLAIM
        claim = 0;
#endif
        endedWith[0] = result[0]; endedWith[1] = result[1] }
    :: atomic { header || acknowledged || promised ->
        /* Accepted is kept; promised is not there; a position never changes and has none empty before it; no item twice. */
        assert(!acknowledged || header || copy[0] || copy[1]);
        assert(!promised || (!header && !copy[0] && !copy[1] && lateAccepts == 0));
        assert(seen[0] == 0 || seen[0] == result[0]);
        assert(seen[1] == 0 || seen[1] == result[1]);
        assert(result[1] == 0 || (result[0] != 0 && result[0] != result[1]));
        assert(!ended || (!open && endedWith[0] == result[0] && endedWith[1] == result[1]));
        assert(result[1] == 0 || !open);
        seen[0] = result[0]; seen[1] = result[1] }
    od
}

init {
#ifdef RESULTS
    atomic { header = true; open = true; run Worker(0); run Worker(1) }
#else
    atomic { run Front(); run Deliverer(0); run Deliverer(1) }
#endif
}
