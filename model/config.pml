/*
 * Accepting and spreading changes of the configuration. The key-value service holds one dense sequence of changes; a
 * change is committed by comparing the head. A commit may take effect although its answer is lost, may take effect late,
 * or not at all; any call may find the service away. Copies on the nodes learn from the service and from each other, may
 * be sent what is old, and start empty again when their node is replaced. Two changes exclude each other (each expects
 * the resource as it was before), a third is refused whenever its check likes, and the first is resent on another node once its operator was
 * told that the outcome is unknown.
 *
 * Seeded bugs (-D): NO_COMPARE, LOST_IS_REFUSED, NO_READ_BACK, REFUSE_PENDING, RESEND_DEFINITE, LEARN_SKIPS, INSTALL_ANY.
 */
#ifndef TRIES
#define TRIES 2
#endif
#define NODES 3
#define CHANGES 3
#define APPLICATIONS 4
#ifndef WIPES
#define WIPES 1
#endif
/* Which of the other operators take part: 2 the one whose change excludes the first, 3 the one whose check may refuse. */
#ifndef OTHERS
#define OTHERS 2
#endif

mtype = { running, accepted, refused, unknown };

/* The service: the change at each revision, 0 for none. */
byte head = 0;
byte log[CHANGES + 2];

/* A commit that is still on its way, by application: the head it compares. */
bool inFlight[APPLICATIONS + 1];
byte flightBase[APPLICATIONS + 1];

/* The copies: the revision and the changes up to it, (CHANGES + 2) for each node. */
byte revision[NODES];
byte history[NODES * (CHANGES + 2)];
bool busy[NODES];        /* an application runs on the node */
byte wipes = 0;

/* A whole copy on its way to a node. */
bool snapshotSent = false;
byte snapshotTo;
byte snapshotRevision;

mtype told[APPLICATIONS + 1];

#define AT(node, rev) history[(node) * (CHANGES + 2) + (rev)]
#define HAS(node, id) (AT(node, 1) == id || AT(node, 2) == id || AT(node, 3) == id)
#define ACCEPTED(id) (log[1] == id || log[2] == id || log[3] == id)
#define TWICE(id) ((log[1] == id && (log[2] == id || log[3] == id)) || (log[2] == id && log[3] == id))
/* Changes 1 and 2 expect the resource that both write as it was at first. */
#define CONFLICTS(node, id) ((id) != 3 && (HAS(node, 1) || HAS(node, 2)))

/* An answer, once given, must hold in every later state. */
#define WRONG(app, id) ((told[app] == accepted && !ACCEPTED(id)) || (told[app] == refused && ACCEPTED(id)))
#define CHECK assert(!TWICE(1) && !TWICE(2) && !TWICE(3)); \
    assert(!WRONG(1, 1)); assert(!WRONG(2, 2)); assert(!WRONG(3, 3)); assert(!WRONG(4, 1))

/* Learn: only the change right after the copy's own may be applied. */
inline learn(node, rev, id) {
    if
#ifdef LEARN_SKIPS
    :: rev > revision[node] ->
#else
    :: rev == revision[node] + 1 ->
#endif
        AT(node, rev) = id; revision[node] = rev;
        assert(AT(node, 1) == log[1]);
        assert(revision[node] < 2 || AT(node, 2) == log[2]);
        assert(revision[node] < 3 || AT(node, 3) == log[3])
    :: else
    fi
}

inline take_effect(base, id) {
    if
#ifdef NO_COMPARE
    :: true ->
#else
    :: head == base ->
#endif
        head = base + 1; log[head] = id
    :: else
    fi;
    CHECK
}

inline conclude(app, answer) {
    atomic { told[app] = answer; busy[node] = false; CHECK }
}

proctype Apply(byte app; byte id; byte node; bool resent) {
    byte tries = 0;
    byte pending = 0;    /* the revision of a commit whose outcome is not known */
    byte seen;
    bool conflict;       /* the check's verdict on the state at the head that was read */
    atomic { !busy[node] -> busy[node] = true };
    do
    :: tries < TRIES ->
        tries++;
        if
        :: skip /* the service is away */
        :: atomic { seen = head };
            /* catchUp: the copy reaches exactly what was read; it may have gone beyond meanwhile. */
            do
            :: atomic { revision[node] < seen -> learn(node, revision[node] + 1, log[revision[node] + 1]) }
            :: revision[node] >= seen -> break
            od;
            if
            :: revision[node] != seen
            :: atomic { revision[node] == seen -> conflict = CONFLICTS(node, id) };
                /* resolve: with what the copy has by now, which is no less than the base of the check */
                if
#ifndef NO_READ_BACK
                :: HAS(node, id) -> conclude(app, accepted); goto done
                :: !HAS(node, id) && pending != 0 && seen >= pending ->
                    if
                    :: log[pending] == id -> conclude(app, accepted); goto done
                    :: else -> pending = 0
                    fi
                :: !HAS(node, id) && !(pending != 0 && seen >= pending)
#else
                :: pending = 0
#endif
                fi;
                /* prepare */
                if
#ifdef REFUSE_PENDING
                :: conflict -> conclude(app, refused); goto done
#else
                :: conflict && pending == 0 -> conclude(app, refused); goto done
                :: conflict && pending != 0 -> conclude(app, unknown); goto done
#endif
                /* The caller's own check may say no at any time. */
#ifdef REFUSE_PENDING
                :: !conflict && id == 3 -> conclude(app, refused); goto done
#else
                :: !conflict && id == 3 && pending == 0 -> conclude(app, refused); goto done
                :: !conflict && id == 3 && pending != 0 -> conclude(app, unknown); goto done
#endif
                :: !conflict
                fi;
                /* commit */
                if
                :: skip /* definitely not applied */
                :: atomic { head != seen }
                :: atomic { head == seen -> take_effect(seen, id); learn(node, seen + 1, id) };
                    conclude(app, accepted); goto done
                :: atomic {
                    /* The answer is lost; the commit took effect, will, or never does. */
                    if
                    :: true -> take_effect(seen, id)
                    :: inFlight[app] = true; flightBase[app] = seen
                    :: skip
                    fi;
#ifndef LOST_IS_REFUSED
                    pending = seen + 1
#endif
                }
                fi
            fi
        fi
    :: tries >= TRIES -> break
    od;
    /* giveUp: of a resend nobody can say that the earlier commit won't arrive. */
    if
    :: pending != 0 -> conclude(app, unknown)
#ifdef RESEND_DEFINITE
    :: pending == 0 -> conclude(app, refused)
#else
    :: pending == 0 && !resent -> conclude(app, refused)
    :: pending == 0 && resent -> conclude(app, unknown)
#endif
    fi;
done:
    skip
}

/* Commits that arrive late, copies that talk to each other, and nodes that are replaced. */
active proctype World() {
    byte node;
    byte from;
end:
    do
    :: atomic { inFlight[1] -> inFlight[1] = false; take_effect(flightBase[1], 1) }
    :: atomic { inFlight[2] -> inFlight[2] = false; take_effect(flightBase[2], 2) }
    :: atomic { inFlight[3] -> inFlight[3] = false; take_effect(flightBase[3], 3) }
    :: atomic { inFlight[4] -> inFlight[4] = false; take_effect(flightBase[4], 1) }
    :: atomic { /* a change of one copy reaches another, whatever that one has by now */
        select(node : 0 .. 2); select(from : 0 .. 2);
        if
        :: revision[from] > revision[node] ->
            if
            :: true -> learn(node, revision[from], AT(from, revision[from]))
            :: true -> learn(node, revision[node] + 1, AT(from, revision[node] + 1))
            fi
        :: else
        fi;
        node = 0; from = 0 }
    :: atomic { !snapshotSent ->
        select(node : 0 .. 2); select(from : 0 .. 2);
        if
        :: revision[from] > revision[node] -> snapshotSent = true; snapshotTo = node; snapshotRevision = revision[from]
        :: else
        fi;
        node = 0; from = 0 }
    :: atomic { snapshotSent ->
        snapshotSent = false;
        if
#ifdef INSTALL_ANY
        :: true ->
#else
        :: snapshotRevision > revision[snapshotTo] ->
#endif
            assert(snapshotRevision >= revision[snapshotTo]);
            revision[snapshotTo] = snapshotRevision;
            AT(snapshotTo, 1) = (snapshotRevision >= 1 -> log[1] : 0);
            AT(snapshotTo, 2) = (snapshotRevision >= 2 -> log[2] : 0);
            AT(snapshotTo, 3) = (snapshotRevision >= 3 -> log[3] : 0)
        :: else
        fi;
        snapshotTo = 0; snapshotRevision = 0 }
    :: atomic { wipes < WIPES && !busy[2] && !snapshotSent ->
        wipes++; revision[2] = 0; AT(2, 1) = 0; AT(2, 2) = 0; AT(2, 3) = 0 }
    od
}

init {
    atomic {
        told[1] = running; told[2] = running; told[3] = running; told[4] = running;
#if OTHERS != 3
        run Apply(2, 2, 1, false);
#endif
#if OTHERS != 2
        run Apply(3, 3, 1, false);
#endif
        run Apply(1, 1, 0, false)
    };
    /* The operator of the first change is told "unknown" and resends it through another node. */
    if
    :: told[1] == unknown -> run Apply(4, 1, 2, true)
    :: told[1] == accepted || told[1] == refused
    fi
}
