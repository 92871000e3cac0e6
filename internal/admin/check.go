package admin

import (
	"errors"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/policy"
)

// checkState lists every problem that the proposed configuration has and the base does not. It looks at the whole
// configuration, because an edit of one resource may break another that refers to it. Problems that were there before
// are not counted: a node that runs an older program than the author of some resource must still take changes of
// others, and a broken configuration can be mended piece by piece. known is a snapshot this node has, from which the
// resources that have not changed since are taken.
func checkState(known *catalog.Snapshot, base, proposed *confsync.State, edits []edit) error {
	problems := problemsOf(known, proposed)
	if len(problems) > 0 {
		problems = withoutKnown(problems, problemsOf(known, base), edits)
	}
	problems = append(problems, policyProblems(edits)...)
	if len(problems) == 0 {
		return nil
	}
	return &catalog.InvalidError{Problems: locate(problems, edits)}
}

func problemsOf(known *catalog.Snapshot, state *confsync.State) []catalog.Problem {
	_, err := catalog.BuildAfter(known, resourcesOf(state))
	var invalid *catalog.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}

// withoutKnown drops the problems that the base has too, except those of resources being written.
func withoutKnown(problems, known []catalog.Problem, edits []edit) []catalog.Problem {
	old := make(map[catalog.Problem]bool, len(known))
	for _, problem := range known {
		old[problem] = true
	}
	written := editsByReference(edits)
	var remaining []catalog.Problem
	for _, problem := range problems {
		_, isWritten := written[catalog.Reference{Kind: problem.Kind, Name: problem.Name}]
		if isWritten || !old[problem] {
			remaining = append(remaining, problem)
		}
	}
	return remaining
}

func policyProblems(edits []edit) []catalog.Problem {
	var problems []catalog.Problem
	for _, edit := range edits {
		if edit.deletes() || edit.reference.Kind != catalog.KindPolicy {
			continue
		}
		decoded, err := catalog.Decode(edit.resource())
		if err != nil {
			// Build has listed what is wrong with its form.
			continue
		}
		_, err = policy.Compile(*decoded.(*catalog.Policy))
		var invalid *catalog.InvalidError
		if errors.As(err, &invalid) {
			problems = append(problems, invalid.Problems...)
		}
	}
	return problems
}

// locate adds the lines of the manifests.
func locate(problems []catalog.Problem, edits []edit) []catalog.Problem {
	byReference := editsByReference(edits)
	located := make([]catalog.Problem, 0, len(problems))
	for _, problem := range problems {
		source, isWritten := byReference[catalog.Reference{Kind: problem.Kind, Name: problem.Name}]
		if isWritten {
			problem = source.manifest.Locate(problem)
		}
		located = append(located, problem)
	}
	return located
}

func editsByReference(edits []edit) map[catalog.Reference]edit {
	byReference := make(map[catalog.Reference]edit, len(edits))
	for _, edit := range edits {
		byReference[edit.reference] = edit
	}
	return byReference
}
