/*
 * One batch job of two items in the platform's store (internal/jobrecord), with the disks of workers that keep it while the
 * store does not answer (internal/handoff). A call of the store may take effect with or without an answer, or later, if its
 * condition still holds then. The store may be away at any time. Leases lapse at any time, also while their holder goes on.
 * LOST disks are lost, at any time.
 *
 * The taking of the job, the recording of its results (-DRESULTS), and the output that is kept of an item in progress at a
 * second worker (-DOUTPUT, internal/progress) are searched apart: they meet in the store alone.
 *
 * Seeded bugs (-D): ONE_COPY, REMOVE_EARLY, BLIND_HANDOVER, PROMISE_UNKNOWN, NO_COMPARES, ASSUME_WRITTEN,
 * END_KEEPS_CLAIM, PIECES_NAME_NO_RUN. Without one of its two compares (claim, position) recording still holds: each alone is enough while a job
 * is open; the claim is what ends it. Likewise kept output holds without its compare of claims, which only spares sendings.
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

#ifdef OUTPUT
/*
 * One item, run by holders whose claims lapse while they go on: each begins from what the mirror kept when it claimed the job,
 * and sends it what it makes. Pieces arrive, arrive late, or arrive and are not answered. An event is the claim of the run that
 * made it. All events are of one length. What may be recorded of it is the matter of -DRESULTS.
 */
#define HOLDERS 2
#define EVENTS 3

typedef Text { byte by[EVENTS]; byte length }
/* What follows the first events of a text, and the run that it follows. */
typedef Piece { byte by[EVENTS]; byte length; byte offset; byte before }

Text kept;
Text made[HOLDERS];
Piece late[HOLDERS];            /* length 0 for none */
byte resumedAt[HOLDERS + 1];    /* by claim */
bool forgot = false;

/* A text goes on with another run only where that run was asked to go on. */
inline check_joints(text) {
    assert(text.length < 2 || text.by[0] == text.by[1] || resumedAt[text.by[1]] == 1);
    assert(text.length < 3 || text.by[1] == text.by[2] || resumedAt[text.by[2]] == 2)
}

inline copy_text(to, from) {
    to.by[0] = from.by[0]; to.by[1] = from.by[1]; to.by[2] = from.by[2]; to.length = from.length
}

/* progress.mirrored.take */
inline take(piece, follows) {
    follows = true;
    if
    :: kept.length > 0 && piece.by[piece.length - 1] < kept.by[kept.length - 1] -> skip
    :: else ->
        if
        :: piece.offset == 0 -> copy_text(kept, piece)
#ifdef PIECES_NAME_NO_RUN
        :: piece.offset > 0 && piece.offset == kept.length ->
#else
        :: piece.offset > 0 && piece.offset == kept.length && piece.before == kept.by[kept.length - 1] ->
#endif
            if
            :: piece.offset == 1 -> kept.by[1] = piece.by[1]; kept.by[2] = piece.by[2]
            :: piece.offset == 2 -> kept.by[2] = piece.by[2]
            fi;
            kept.length = piece.length
        :: else -> follows = false
        fi
    fi;
    check_joints(kept)
}

proctype Holder(byte me) {
    byte mine, sent;
    bool follows;
    Piece piece;
end:
    atomic { claim == 0 && claims < HOLDERS -> claims++; claim = claims; mine = claims };
    /* The mirror is asked after the claim, and may have gone on since. */
    atomic { copy_text(made[me], kept); resumedAt[mine] = kept.length; sent = 0 };
    do
    :: atomic { made[me].length < EVENTS -> made[me].by[made[me].length] = mine; made[me].length++ }
    :: atomic { made[me].length > sent ->
        copy_text(piece, made[me]);
        piece.offset = sent;
        if
        :: sent > 0 -> piece.before = made[me].by[sent - 1]
        :: else -> piece.before = 0
        fi;
        if
        :: true ->
            take(piece, follows);
            if
            :: follows -> sent = made[me].length
            :: else -> sent = 0
            fi
        :: true -> take(piece, follows)                 /* the answer is lost */
        :: late[me].length == 0 ->
            copy_text(late[me], piece); late[me].offset = piece.offset; late[me].before = piece.before
        fi;
        piece.by[0] = 0; piece.by[1] = 0; piece.by[2] = 0; piece.length = 0; piece.offset = 0; piece.before = 0; follows = false }
    :: atomic { made[me].length == EVENTS -> check_joints(made[me]) ; break }
    :: break                                            /* the process dies */
    od
}

active proctype Network() {
    bool ignored;
end:
    do
    :: atomic { late[0].length > 0 -> take(late[0], ignored); late[0].length = 0; ignored = false }
    :: atomic { late[1].length > 0 -> take(late[1], ignored); late[1].length = 0; ignored = false }
    :: atomic { !forgot -> forgot = true; kept.length = 0 }     /* the mirror is started again */
    od
}
#endif

init {
#ifdef OUTPUT
    atomic { run Holder(0); run Holder(1) }
#else
#ifdef RESULTS
    atomic { header = true; open = true; run Worker(0); run Worker(1) }
#else
    atomic { run Front(); run Deliverer(0); run Deliverer(1) }
#endif
#endif
}
