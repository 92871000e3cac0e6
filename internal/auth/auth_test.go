package auth_test

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mallowlatch.example/mallowlatch/internal/auth"
	"mallowlatch.example/mallowlatch/internal/catalog"
)

func newKey(t *testing.T, snapshot *catalog.Snapshot, id string, role catalog.Role, seed byte) string {
	t.Helper()
	secret, digest, err := auth.Generate(bytes.NewReader(bytes.Repeat([]byte{seed}, 32)))
	assert.NilError(t, err)
	snapshot.Keys[digest] = catalog.Key{ID: id, Tenant: "palermo", Role: role, Digest: digest}
	return secret
}

func TestAuthenticateFindsOnlyTheKeyOfTheSecret(t *testing.T) {
	snapshot := catalog.Empty()
	first := newKey(t, snapshot, "first", catalog.RoleCaller, 1)
	second := newKey(t, snapshot, "second", catalog.RoleViewer, 2)
	for secret, id := range map[string]string{first: "first", second: "second"} {
		key, err := auth.Authenticate(snapshot, secret)
		assert.NilError(t, err)
		assert.Equal(t, key.ID, id)
	}
	_, err := auth.Authenticate(snapshot, first+"x")
	assert.ErrorIs(t, err, auth.ErrUnknownKey)
	_, err = auth.Authenticate(snapshot, "")
	assert.ErrorIs(t, err, auth.ErrNoKey)
	_, err = auth.Authenticate(snapshot, strings.Repeat("x", 10_000))
	assert.ErrorIs(t, err, auth.ErrNoKey)
	_, err = auth.Authenticate(snapshot, auth.Digest(first))
	assert.ErrorIs(t, err, auth.ErrUnknownKey, "a digest that leaked must not authenticate")
}

func TestGenerateNeedsAllItsRandomness(t *testing.T) {
	_, _, err := auth.Generate(bytes.NewReader(make([]byte, 31)))
	assert.ErrorContains(t, err, "randomness")
}

func TestBootstrapKeyCountsOnlyWithoutAdminKey(t *testing.T) {
	bootstrap, digest, err := auth.Generate(bytes.NewReader(make([]byte, 32)))
	assert.NilError(t, err)
	snapshot := catalog.Empty()
	newKey(t, snapshot, "someone", catalog.RoleOperator, 1)

	key, err := auth.Administrator(snapshot, digest, bootstrap)
	assert.NilError(t, err)
	assert.Equal(t, key.Role, catalog.RoleAdmin)
	_, err = auth.Administrator(snapshot, digest, "guess")
	assert.ErrorIs(t, err, auth.ErrUnknownKey)
	_, err = auth.Administrator(snapshot, "", "")
	assert.ErrorIs(t, err, auth.ErrNoKey)

	newKey(t, snapshot, "admin", catalog.RoleAdmin, 2)
	_, err = auth.Administrator(snapshot, digest, bootstrap)
	assert.ErrorIs(t, err, auth.ErrUnknownKey)
}

func TestRolesAreNestedAndCallersStayOut(t *testing.T) {
	for _, row := range []struct {
		role    catalog.Role
		allowed []auth.Permission
	}{
		{catalog.RoleCaller, []auth.Permission{auth.PermissionInfer}},
		{catalog.RoleViewer, []auth.Permission{auth.PermissionRead}},
		{catalog.RoleOperator, []auth.Permission{auth.PermissionRead, auth.PermissionConfigure}},
		{catalog.RoleAdmin, []auth.Permission{auth.PermissionRead, auth.PermissionConfigure, auth.PermissionManageAccess}},
		{"owner", nil},
	} {
		granted := map[auth.Permission]bool{}
		for _, permission := range row.allowed {
			granted[permission] = true
		}
		all := []auth.Permission{auth.PermissionInfer, auth.PermissionRead, auth.PermissionConfigure, auth.PermissionManageAccess}
		for _, permission := range all {
			assert.Equal(t, auth.Allows(row.role, permission), granted[permission], "%s %s", row.role, permission)
		}
	}
	assert.Equal(t, auth.ToChange(catalog.KindKey), auth.PermissionManageAccess)
	assert.Equal(t, auth.ToChange(catalog.KindDrain), auth.PermissionConfigure)
	assert.ErrorIs(t, auth.Require(catalog.Key{Role: catalog.RoleViewer}, auth.PermissionConfigure), auth.ErrForbidden)
}

func BenchmarkAuthenticate(b *testing.B) {
	snapshot := catalog.Empty()
	secret, digest, err := auth.Generate(bytes.NewReader(make([]byte, 32)))
	assert.NilError(b, err)
	snapshot.Keys[digest] = catalog.Key{ID: "k", Digest: digest}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := auth.Authenticate(snapshot, secret); err != nil {
			b.Fatal(err)
		}
	}
}
