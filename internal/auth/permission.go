package auth

import (
	"fmt"

	"mallowlatch.example/mallowlatch/internal/catalog"
)

// Permission is what a route or an edit asks of a key's role.
type Permission string

// The permissions.
const (
	// PermissionInfer allows use of the caller API for the key's tenant.
	PermissionInfer Permission = "infer"
	// PermissionRead allows reading the admin API.
	PermissionRead Permission = "read"
	// PermissionConfigure allows changing configuration other than tenants and keys.
	PermissionConfigure Permission = "configure"
	// PermissionManageAccess allows changing tenants and keys.
	PermissionManageAccess Permission = "manage access"
)

var permissionsOfRole = map[catalog.Role][]Permission{
	catalog.RoleCaller:   {PermissionInfer},
	catalog.RoleViewer:   {PermissionRead},
	catalog.RoleOperator: {PermissionRead, PermissionConfigure},
	catalog.RoleAdmin:    {PermissionRead, PermissionConfigure, PermissionManageAccess},
}

// Allows says whether the role has the permission. An unknown role has none.
func Allows(role catalog.Role, permission Permission) bool {
	for _, granted := range permissionsOfRole[role] {
		if granted == permission {
			return true
		}
	}
	return false
}

// Require returns an error that wraps ErrForbidden unless the key's role has the permission.
func Require(key catalog.Key, permission Permission) error {
	if Allows(key.Role, permission) {
		return nil
	}
	return fmt.Errorf("key %q has role %s, which may not %s: %w", key.ID, key.Role, permission, ErrForbidden)
}

// ToChange returns the permission that changing resources of the kind asks for.
func ToChange(kind catalog.Kind) Permission {
	if kind == catalog.KindTenant || kind == catalog.KindKey {
		return PermissionManageAccess
	}
	return PermissionConfigure
}
