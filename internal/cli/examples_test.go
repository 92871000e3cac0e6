package cli

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const examplesFolder = "../../examples"

func TestExamplesCanBeApplied(t *testing.T) {
	for name, services := range map[string]int{"trinacria": 3, "petrovi": 4} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			succeed(t, "apply", "-f", filepath.Join(examplesFolder, name, "policies.yaml"))
			succeed(t, "apply", "-f", filepath.Join(examplesFolder, name, "site.yaml"))
			assert.Equal(t, len(s.replica.Current().Services), services)
		})
	}
}

func TestExamplePoliciesGiveTheOrderTheyPromise(t *testing.T) {
	for _, row := range []struct {
		deployment, policy string
		order              []int
		mayWait            []bool
		actions            []string
	}{
		{"trinacria", "donors-first", []int{3, 4, 2, 1}, []bool{true, false}, []string{"serve", "refuse_batch"}},
		{"trinacria", "confirmations", []int{4, 3, 1, 2}, []bool{true, true}, []string{"refuse_all", "refuse_all"}},
		{"petrovi", "trucks", []int{3, 2, 1, 4}, []bool{true, true}, []string{"serve"}},
		{"petrovi", "patient", []int{1, 3, 2, 4}, []bool{true, true}, []string{"refuse_batch"}},
		{"petrovi", "counter", []int{1, 3, 2, 4}, []bool{true, false}, []string{"serve"}},
	} {
		t.Run(row.policy, func(t *testing.T) {
			folder := filepath.Join(examplesFolder, row.deployment)
			printed := succeed(t, "policy", "test", "-o", "json",
				"-f", filepath.Join(folder, "policies.yaml"), "--sample", filepath.Join(folder, "sample-work.yaml"))
			var results []policyTest
			assert.NilError(t, json.Unmarshal([]byte(printed), &results))
			for _, result := range results {
				if result.Policy != row.policy {
					continue
				}
				var order []int
				var mayWait []bool
				var actions []string
				for _, work := range result.Order {
					order = append(order, work.Sample)
				}
				for _, request := range result.Requests {
					mayWait = append(mayWait, request.MayWait)
				}
				for _, site := range result.Sites {
					actions = append(actions, string(site.Action))
				}
				assert.DeepEqual(t, order, row.order)
				assert.DeepEqual(t, mayWait, row.mayWait)
				assert.DeepEqual(t, actions, row.actions)
				return
			}
			t.Fatalf("there is no policy %s", row.policy)
		})
	}
}
