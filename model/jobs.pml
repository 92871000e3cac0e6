/*
 * The job log of a shard: one submission key, one job, one item. Senders submit, and resend, by one key; two workers
 * lease the item, run it and complete it; a caller cancels. The committed part is one atomic register: the shard's model
 * shows that what it commits stays. The leader's memory is lost with its term. Every message may be late or lost, also
 * behind a change of leader, and take effect again; only a leader's own proposals take effect in its term or never,
 * since the next leader's first entry follows all it will ever hold of them. A worker that takes no step while the clock
 * ticks is paused, for as long as it likes. A run starts in the step in which the worker looks at its clock, but with
 * CHECK_APART.
 *
 * Time is in ticks that all clocks share; the sixteenth that a leader keeps a lease for longer, for clocks of other
 * rates, is not modelled as drift but as one tick.
 *
 * ONCE makes the item one that may run at most once; RESENDS has three senders, one of another body, and no worker.
 * Seeded bugs (-D): see model/check.
 */
#ifndef CHANGES
#define CHANGES 2
#endif
#ifndef RUNS
#define RUNS 3
#endif
#ifndef LEASES
#define LEASES 3
#endif
#define TTL 2                   /* by the worker's clock, from before it asks */
#define LEADER_TTL (TTL + 1)    /* by the leader's clock, from when it grants or renews */
#define NEVER (TTL + 2)         /* more ticks than any bound: counting stops here */
#define WORKERS 2
#define UNKNOWN 10              /* result: the outcome is lost */
#define CANCELLED 11            /* result: the job was cancelled first */

mtype = { idle, asking, prepared, granted, holding, running };
#define NOBODY WORKERS          /* the holder of an inherited lease until its worker renews it */

/* Committed state. */
byte job = 0;                   /* the job's number, 0 before acceptance */
byte key = 0;                   /* the job that the submission key names */
byte body = 0;                  /* the body that the key was accepted with */
bool stop = false;
byte result = 0;                /* the lease that the first recorded result came from */
byte started = 0;               /* the lease that started an item that may run at most once */

/* The leader's memory. */
byte changes = 0;
byte lease = 0;                 /* the lease alive, 0 if there is none */
byte holder = 0;                /* its worker */
byte left = 0;                  /* ticks that the leader keeps it for */
bool granting = false;          /* it is reserved and not handed out yet */
bool busy = false;              /* the item is leased, being settled, or has a result */
bool withdrawn = false;         /* it was never handed out, and its start mark is to be released */
bool lapsed = false;            /* the lease ran out and its loss is not committed yet */
byte inherited = 0;             /* ticks in which a lease of an earlier leader may be alive */
bool remembered = false;        /* a cancel that is kept in memory alone (seeded) */

/* Workers. */
mtype state[WORKERS] = idle;
byte mine[WORKERS];             /* the lease */
byte until[WORKERS];            /* ticks that the worker may start for */
bool renewing[WORKERS];         /* a renewal is on its way, or its answer */
bool renewed[WORKERS];          /* its answer: extended */
bool refused[WORKERS];          /* its answer: lost */
byte renewal[WORKERS];          /* ticks that the lease is good for if the renewal was granted */
bool checked[WORKERS];          /* the worker has looked at its clock (CHECK_APART) */

/* Calls by lease that may take effect at any time after they were sent, and again; losing and
 * starting are the leader's own. */
bool completing[LEASES + 1];
bool releasing[LEASES + 1];
bool losing[LEASES + 1];
bool starting[LEASES + 1];      /* a start mark that may take effect late, in its term */
bool late[LEASES + 1];          /* it did */

/* What really happened, and what callers were told. */
byte leases = 0;
byte runs = 0;
byte jobs = 0;
byte pending = 0;                /* a submission that was answered before its commit (seeded) */
byte told = 0;                  /* the job that a submission was answered with */
byte seen = 0;                  /* the result that a caller has read */
bool accepted = false;          /* the cancel was answered */
byte since = 0;                 /* ticks since then */

#ifdef CANCEL_IN_MEMORY
#define stopped (stop || remembered)
#else
#define stopped stop
#endif

#ifdef CANCEL_IN_MEMORY
#define stopped (stop || remembered)
#else
#define stopped stop
#endif

inline become_idle(w) {
    state[w] = idle; mine[w] = 0; until[w] = 0; checked[w] = false;
    renewing[w] = false; renewed[w] = false; refused[w] = false; renewal[w] = 0
}

inline forget_lease() { lease = 0; holder = 0; left = 0; granting = false; lapsed = false; withdrawn = false }

/* An accepted item has a result, or is leased, or waits; a start mark has its lease, or came late and is released. */
inline kept() {
    assert(!(busy && result == 0 && lease == 0));
    assert(started == 0 || result != 0 || lease != 0 || late[started])
}

/* Records the first result of the item; others change nothing. */
inline record(value, from) {
    if
#ifndef SECOND_RESULT
    :: result != 0
#endif
#if defined(ONCE) && !defined(NO_LEASE_FENCE)
    :: started != from && (started != 0 || value == UNKNOWN)
#endif
    :: else ->
#ifdef ONCE
        assert(started == from || started == 0 && value != UNKNOWN);
#endif
        result = value; busy = true
    fi
}

/* A sender submits, or resends, by the key. Its answer may be lost. */
proctype Sender(byte sent) {
    byte answer = 0;
end:
    do
#ifdef ANSWER_BEFORE_COMMIT
    :: atomic { key == 0 -> answer = 1; pending = sent }
    :: atomic { pending != 0 && key == 0 -> jobs++; job = jobs; body = pending; key = job; pending = 0 }
#else
    :: atomic { key == 0 && jobs < 2 ->
        jobs++; job = jobs; answer = job; body = sent;
#ifndef KEY_AFTER_ACCEPT
        key = job
#endif
        }
#ifdef KEY_AFTER_ACCEPT
        atomic { key = answer }
#endif
#endif
    :: atomic { key != 0 && answer == 0 ->
        if
#ifndef NO_DIGEST_CHECK
        :: sent != body
#endif
        :: else -> answer = key; assert(sent == body)
        fi }
    :: atomic { answer != 0 ->
        assert(told == 0 || told == answer);
        assert(jobs <= 1);
        told = answer; answer = 0 }
    :: atomic { answer != 0 -> answer = 0 }
    od
}

/* The caller cancels, and reads the result whenever it likes. */
proctype Caller() {
end:
    do
    :: atomic { told != 0 && result == 0 && !accepted ->
#ifdef CANCEL_IN_MEMORY
        remembered = true;
#else
        stop = true;
#endif
        accepted = true }
    :: atomic { result != 0 && seen != result -> assert(seen == 0); seen = result }
    od
}

proctype Worker(byte w) {
end:
    do
    /* Lease: the worker's clock runs from before the request. */
    :: atomic { state[w] == idle && leases < LEASES && job != 0 && result == 0 ->
        leases++; mine[w] = leases; until[w] = TTL; state[w] = asking }
    /* The leader reserves, reads the committed state and commits the start of an item that may run once. */
#ifdef RESOLVE_BUSY
    :: atomic { state[w] == asking && (!busy || started != 0) && inherited == 0 && !stopped && result == 0 ->
#else
    :: atomic { state[w] == asking && !busy && inherited == 0 && !stopped && result == 0 ->
#endif
#ifdef ONCE
        if
        :: started == 0 -> started = mine[w]
        :: started == 0 ->
            /* The outcome of the start is not known: the lease is withdrawn, here and by the client. */
            if
            :: started = mine[w]
            :: starting[mine[w]] = true
            fi;
            lease = mine[w]; holder = NOBODY; withdrawn = true; busy = true;
            releasing[mine[w]] = true; become_idle(w)
        :: started != 0 ->
            /* No lease holds the item, so its mark came late. */
            lease = started; holder = NOBODY; withdrawn = true; busy = true; become_idle(w)
        fi;
        if
        :: withdrawn -> skip
        :: else ->
#endif
        lease = mine[w]; holder = w; left = 0; granting = true; busy = true; state[w] = prepared
#ifdef ONCE
        fi
#endif
        }
    :: atomic { state[w] == asking -> become_idle(w) }
    /* It hands out. One that was deposed either notices and releases, or does not and hands out too. */
    :: atomic { state[w] == prepared && lease == mine[w] && granting ->
        granting = false; left = LEADER_TTL; state[w] = granted }
    :: atomic { state[w] == prepared && !(lease == mine[w] && granting) ->
        if
        :: state[w] = granted
        :: releasing[mine[w]] = true; become_idle(w)
        fi }
    /* The answer comes; or it is lost, and the client releases what will not run. */
    :: atomic { state[w] == granted -> state[w] = holding;
#ifdef TTL_FROM_ANSWER
        until[w] = TTL
#endif
        }
    :: atomic { state[w] == granted -> releasing[mine[w]] = true; become_idle(w) }
    /* The worker starts the item while its lease lasts. */
#ifdef CHECK_APART
    :: atomic { state[w] == holding && until[w] > 0 -> checked[w] = true }
    :: atomic { state[w] == holding && runs < RUNS && checked[w] ->
#else
#ifdef WORKER_STAYS
    :: atomic { state[w] == holding && runs < RUNS ->
#else
    :: atomic { state[w] == holding && runs < RUNS && until[w] > 0 ->
#endif
#endif
        runs++; state[w] = running; checked[w] = false;
        assert(!accepted || since < TTL);
        assert(result != CANCELLED);
#ifdef ONCE
        assert(runs == 1 && result == 0);
#endif
        }
    /* The run ends with a result, or it is preempted, or it never began and the item is given back. */
    :: atomic { state[w] == running -> completing[mine[w]] = true; become_idle(w) }
#if !defined(ONCE) || defined(RELEASE_AFTER_RUN)
    :: atomic { state[w] == running -> state[w] = holding }
#endif
    :: atomic { state[w] == holding -> releasing[mine[w]] = true; become_idle(w) }
    /* The lease ended by the worker's own clock. */
    :: atomic { (state[w] == holding || state[w] == running) && until[w] == 0 -> become_idle(w) }
    /* Renewal: the clock of the new time runs from before the request. */
    :: atomic { (state[w] == holding || state[w] == running) && !renewing[w] ->
        renewing[w] = true; renewal[w] = TTL }
    :: atomic { renewing[w] && !renewed[w] && !refused[w] ->
        if
#ifndef RENEW_IGNORES_CANCEL
        :: stopped || result != 0 -> refused[w] = true
#endif
        :: else ->
            if
            :: lease == mine[w] && holder == w && !granting && !lapsed && left > 0 ->
                left = LEADER_TTL; renewed[w] = true
            :: lease == mine[w] && holder == NOBODY && inherited > 0 ->
                holder = w; left = LEADER_TTL; renewed[w] = true
#ifndef ONCE
            :: lease == 0 && !busy && inherited > 0 ->
                lease = mine[w]; holder = w; left = LEADER_TTL; busy = true; renewed[w] = true
#endif
            :: else -> refused[w] = true
            fi
        fi }
    :: atomic { renewed[w] ->
        if
        :: renewal[w] > until[w] -> until[w] = renewal[w]
        :: else
        fi;
        renewing[w] = false; renewed[w] = false; renewal[w] = 0 }
    :: atomic { refused[w] -> become_idle(w) }
    :: atomic { renewing[w] -> renewing[w] = false; renewed[w] = false; refused[w] = false; renewal[w] = 0 }
    od
}

/* The leader's own work, the messages to it, and its change. */
proctype Leader() {
    byte each;
end:
    do
    :: atomic { job != 0 ->
        select (each : 1 .. LEASES);
        if
        :: completing[each] ->
            record(each, each);
            if
            :: lease == each -> forget_lease()
            :: else
            fi
        :: releasing[each] ->
            if
            :: started == each && result == 0 -> started = 0
            :: else
            fi;
            if
            :: lease == each && started != each -> forget_lease(); busy = (result != 0)
            :: else
            fi
        :: losing[each] ->
            record(UNKNOWN, each);
            if
            :: lease == each && lapsed -> forget_lease(); busy = (result != 0)
            :: else
            fi
        :: starting[each] ->
            starting[each] = false;
            if
            :: started == 0 && result == 0 && !stop -> started = each; late[each] = true
            :: else
            fi
        :: else
        fi;
        kept() }
    /* The mark of a lease that was never handed out is released. */
    :: atomic { withdrawn ->
        if
        :: started == lease && result == 0 -> started = 0
        :: else
        fi;
        forget_lease(); busy = (result != 0);
        kept() }
    /* A lease ran out. */
    :: atomic { lease != 0 && !granting && !lapsed && !withdrawn && left == 0 ->
#ifdef ONCE
        lapsed = true; losing[lease] = true;
#else
        forget_lease();
#ifndef LAPSE_KEEPS_BUSY
        busy = (result != 0);
#endif
#endif
        kept() }
    /* The items of a cancelled job end once no lease can be alive. */
#ifdef END_EARLY
    :: atomic { stopped && result == 0 ->
#else
    :: atomic { stopped && result == 0 && lease == 0 && inherited == 0 ->
#endif
        if
        :: started != 0 -> record(UNKNOWN, started)
        :: else -> record(CANCELLED, 0)
        fi }
    :: atomic { changes < CHANGES ->
        changes++;
        assert(told == 0 || job == told);
        forget_lease(); remembered = false; pending = 0;
        for (each : 1 .. LEASES) { losing[each] = false; starting[each] = false };
        busy = (result != 0);
#ifndef NO_WAIT
        inherited = (job != 0 -> LEADER_TTL : 0);
#endif
        if
        :: started != 0 && result == 0 -> lease = started; holder = NOBODY; left = LEADER_TTL; busy = true
        :: else
        fi;
        kept() }
    od
}

#define TICK(clock) if :: clock > 0 -> clock-- :: else fi

proctype Clock() {
end:
    do
    :: atomic {
        TICK(left); TICK(inherited);
        TICK(until[0]); TICK(until[1]); TICK(renewal[0]); TICK(renewal[1]);
        if
        :: accepted && since < NEVER -> since++
        :: else
        fi }
    od
}

init {
    atomic {
        run Sender(1); run Caller(); run Leader(); run Clock();
#ifdef RESENDS
        run Sender(1); run Sender(2)
#else
        run Worker(0); run Worker(1)
#endif
    }
}
