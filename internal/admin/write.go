package admin

import (
	"fmt"
	"math"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/confsync"
	"mallowlatch.example/mallowlatch/internal/failure"
)

// put writes one resource.
func (s *server) put(r *request) (any, error) {
	reference, err := r.reference()
	if err != nil {
		return nil, err
	}
	manifest, err := r.manifestFor(reference)
	if err != nil {
		return nil, err
	}
	fromHeaders, err := r.guardOfHeaders()
	if err != nil {
		return nil, err
	}
	written := newEdit(manifest)
	if fromHeaders.given {
		written.guard = fromHeaders
	}
	return s.change(r, []edit{written})
}

// manifestFor parses the body of a PUT, whose kind and name may stand in the path alone.
func (r *request) manifestFor(reference catalog.Reference) (catalog.Manifest, error) {
	manifests, err := r.manifests()
	if err != nil {
		return catalog.Manifest{}, fmt.Errorf("reading the body: %w", err)
	}
	if len(manifests) != 1 {
		return catalog.Manifest{}, failure.New(failure.CodeInvalidRequest, "the body must hold one resource, not %d", len(manifests))
	}
	manifest := manifests[0]
	if manifest.Kind != reference.Kind || (manifest.Name != "" && manifest.Name != reference.Name) {
		return catalog.Manifest{}, failure.New(failure.CodeInvalidRequest, "the body holds %s but the path names %s",
			manifest.Reference(), reference).WithLine(manifest.Line(""))
	}
	manifest.Name = reference.Name
	return manifest, nil
}

// newEdit returns the edit a manifest asks for, with the canonical form of its spec if it has one. A faulty spec is kept
// as it is: the check of the whole configuration reports it together with everything else.
func newEdit(manifest catalog.Manifest) edit {
	written := edit{manifest: manifest, guard: guard{given: manifest.Guarded, revision: manifest.Revision}}
	resource := manifest.Resource
	resource.Name = catalog.NameOf(resource)
	if normal, err := catalog.Normalize(resource); err == nil {
		resource = normal
	}
	written.reference = resource.Reference()
	written.spec = resource.Spec
	return written
}

// delete removes one resource.
func (s *server) delete(r *request) (any, error) {
	reference, err := r.reference()
	if err != nil {
		return nil, err
	}
	fromHeaders, err := r.guardOfHeaders()
	if err != nil {
		return nil, err
	}
	return s.change(r, []edit{{reference: reference, guard: fromHeaders}})
}

func (s *server) change(r *request, edits []edit) (any, error) {
	requested, err := r.newChange(edits)
	if err != nil {
		return nil, err
	}
	return s.accept(r.Context(), requested)
}

// apply writes several resources, all or none. If-Match names the configuration revision the whole apply is meant for.
func (s *server) apply(r *request) (any, error) {
	overwrite, err := r.flag(queryOverwrite)
	if err != nil {
		return nil, err
	}
	manifests, err := r.manifests()
	if err != nil {
		return nil, fmt.Errorf("reading the body: %w", err)
	}
	edits, err := editsOf(manifests, overwrite)
	if err != nil {
		return nil, err
	}
	requested, err := r.newChange(edits)
	if err != nil {
		return nil, err
	}
	whole, err := r.guardOfHeaders()
	if err != nil {
		return nil, err
	}
	if whole.given && !whole.any {
		requested.base = &whole.revision
	}
	return s.accept(r.Context(), requested)
}

// editsOf refuses manifests that cannot be told apart; everything else is checked on the whole configuration.
func editsOf(manifests []catalog.Manifest, overwrite bool) ([]edit, error) {
	if len(manifests) == 0 {
		return nil, failure.New(failure.CodeInvalidRequest, "the body holds no resource")
	}
	var problems []catalog.Problem
	edits := make([]edit, 0, len(manifests))
	seen := make(map[catalog.Reference]bool, len(manifests))
	for _, manifest := range manifests {
		written := newEdit(manifest)
		if !written.guard.given && overwrite {
			written.guard = guard{given: true, any: true}
		}
		if message := addressProblem(written.reference, seen); message != "" {
			problem := catalog.Problem{Kind: written.reference.Kind, Name: written.reference.Name, Message: message}
			problems = append(problems, manifest.Locate(problem))
		}
		seen[written.reference] = true
		edits = append(edits, written)
	}
	if len(problems) > 0 {
		return nil, &catalog.InvalidError{Problems: problems}
	}
	return edits, nil
}

func addressProblem(reference catalog.Reference, seen map[catalog.Reference]bool) string {
	switch {
	case !reference.Kind.Known():
		return fmt.Sprintf("there is no kind %q", reference.Kind)
	case reference.Name == "":
		return "the resource has no name"
	case seen[reference]:
		return "stands twice"
	default:
		return ""
	}
}

// rollback restores the configuration of an earlier revision as a new change. API keys are left as they are unless
// include_keys is set: a rollback must not bring a revoked key back by the way.
func (s *server) rollback(r *request) (any, error) {
	includeKeys, err := r.flag(queryIncludeKeys)
	if err != nil {
		return nil, err
	}
	revision, err := r.number(queryRevision, -1, math.MaxInt64)
	if err != nil {
		return nil, err
	}
	if revision < 0 {
		return nil, failure.New(failure.CodeInvalidRequest, "revision must be given").WithParam(queryRevision)
	}
	proposal, err := s.Writer.Rollback(r.Context(), revision)
	if err != nil {
		return nil, fmt.Errorf("working out the rollback: %w", err)
	}
	requested, err := r.newChange(rollbackEdits(proposal, includeKeys))
	if err != nil {
		return nil, err
	}
	if requested.comment == "" {
		requested.comment = proposal.Comment
	}
	if len(requested.edits) == 0 {
		return ChangeResult{DryRun: requested.dryRun, Revision: s.Source.Current().Revision, Edits: []EditResult{}}, nil
	}
	return s.accept(r.Context(), requested)
}

func rollbackEdits(proposal confsync.Proposal, includeKeys bool) []edit {
	var edits []edit
	for _, mutation := range proposal.Mutations {
		if mutation.Key.Kind == catalog.KindKey && !includeKeys {
			continue
		}
		restored := edit{
			reference: catalog.Reference{Kind: mutation.Key.Kind, Name: mutation.Key.Name},
			guard:     guard{given: true, revision: proposal.Expected[mutation.Key]},
		}
		if !mutation.Delete {
			restored.spec = mutation.Value
		}
		edits = append(edits, restored)
	}
	return edits
}
