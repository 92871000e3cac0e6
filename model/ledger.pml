/*
 * The ledger of requests that may run at most once. Two nodes get the same request, as a client resends it, and send it
 * to an engine only after the replicated ledger has committed its start for them. The ledger is one atomic register: the
 * shard's model shows that what it commits stays. A call to it may take effect although its answer is lost, may take
 * effect late, or may not take effect at all; the leader may change at any time, which loses answers and nothing else. A
 * node that is paused takes no step for long, also between the commit and the dispatch.
 *
 * Seeded bugs (-D): DISPATCH_FIRST, SECOND_AFTER_LEASE, ABANDON_UNKNOWN, RESEND_BEGINS, FINISH_LOST.
 */
#ifndef SENDS
#define SENDS 4
#endif
#define NODES 2
#define ATTEMPTS 3

mtype = { absent, started, finished, unknown, abandoned };

/* The ledger's record. */
mtype state = absent;
byte attempt = 0;
byte owner = 0;
byte result = 0;         /* attempt whose answer is stored */
bool lapsed = false;     /* the lease of the starter's node has run out */

/* What really happened. */
byte runs = 0;           /* runs at engines */
byte answers = 0;        /* attempt whose answer a client has got */
bool toldUnknown = false; /* a client was told that the outcome is unknown */
byte sends = 0;
byte late[3];            /* calls of Begin by a node that are still on their way */
byte nobody = 0;

inline commit_begin(node, grant) {
    grant = 0;
    if
    :: state == absent || state == abandoned ->
        attempt++; state = started; owner = node; lapsed = false; grant = attempt
#ifdef RESEND_BEGINS
    :: state == started && owner == node -> grant = attempt
#endif
#ifdef SECOND_AFTER_LEASE
    :: state == started && lapsed && attempt < ATTEMPTS -> attempt++; owner = node; lapsed = false; grant = attempt
#else
    :: state == started && lapsed -> state = unknown
#endif
    :: else
    fi
}

/* A client reads what is stored: an answer never changes, and neither does "outcome unknown". */
inline read_answer() {
    if
    :: state == finished -> assert(!toldUnknown && (answers == 0 || answers == result)); answers = result
    :: state == unknown -> assert(answers == 0); toldUnknown = true
    :: else
    fi
}

proctype Node(byte me) {
    byte mine = 0;       /* the attempt this node may dispatch */
    bool ran = false;
    do
    :: atomic { sends < SENDS && attempt < ATTEMPTS -> sends++ };
#ifdef DISPATCH_FIRST
        atomic { runs++; ran = true };
        assert(runs <= 1);
#endif
        /* Begin: the answer may be lost, then the node must not dispatch. The commit may also come late or never. */
        if
        :: atomic { commit_begin(me, mine) }
        :: atomic { commit_begin(me, mine); mine = 0 }
        :: late[me] = late[me] + 1
        :: skip
        fi;
        if
        :: mine == 0 -> atomic { read_answer() }
        :: mine != 0 ->
            /* Between the commit and here the node may be paused past every lease. */
#ifndef DISPATCH_FIRST
            if
            :: atomic { runs++; ran = true }; assert(runs <= 1)  /* reached an engine, answered or not */
            :: ran = false                  /* definitely refused */
            fi;
#endif
            if
            :: ran ->
                /* The answer came. Finish may take effect, with or without its own answer, or be lost. */
                if
                :: atomic {
                    if
                    :: state == started && attempt == mine -> state = finished; result = mine
#ifdef FINISH_LOST
                    :: state == unknown && attempt == mine -> state = finished; result = mine
#endif
                    :: else
                    fi }
                :: skip
                fi
            :: ran ->
                /* Sent, but the outcome is lost. */
                if
#ifdef ABANDON_UNKNOWN
                :: atomic { if :: state == started && attempt == mine -> state = abandoned :: else fi }
#else
                :: atomic { if :: state == started && attempt == mine -> state = unknown :: else fi }
#endif
                :: skip
                fi
            :: !ran ->
                /* Definitely not run: only then may another attempt begin. */
                if
                :: atomic { if :: state == started && attempt == mine -> state = abandoned :: else fi }
                :: skip
                fi
            fi;
            mine = 0;
            ran = false
        fi
    :: sends >= SENDS || attempt >= ATTEMPTS -> break
    od
}

/* Time: leases run out whenever they like; a client asks for the answer whenever it likes. */
active proctype World() {
end:
    do
    :: atomic { state == started && !lapsed -> lapsed = true }
    :: atomic { state == finished || state == unknown -> read_answer() }
    :: atomic { late[1] > 0 -> late[1]--; commit_begin(1, nobody); nobody = 0 }
    :: atomic { late[2] > 0 -> late[2]--; commit_begin(2, nobody); nobody = 0 }
    od
}

init {
    atomic { run Node(1); run Node(2) }
}
