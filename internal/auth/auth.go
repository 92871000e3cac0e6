// Package auth authenticates API keys against a configuration snapshot and says what each role may do. It does no I/O
// and keeps no state, so a revoked key is refused by a node as soon as the node has the snapshot without it.
package auth

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"

	"mallowlatch.example/mallowlatch/internal/catalog"
	"mallowlatch.example/mallowlatch/internal/failure"
	"mallowlatch.example/mallowlatch/internal/keyhash"
)

const (
	// secretPrefix lets scanners for leaked secrets recognize a key.
	secretPrefix = "mlk_"
	// secretBytes is the randomness of a secret. With 256 random bits a slow hash would add nothing against guessing,
	// and would cost every request.
	secretBytes = 32
	// maxBearerBytes bounds what is hashed for an unauthenticated caller.
	maxBearerBytes = 256
	digestHexBytes = 2 * sha256.Size
	// bootstrapKeyID names the bootstrap key in the audit log.
	bootstrapKeyID = "bootstrap"
)

// Failures of authentication.
const (
	// ErrUnknownKey means that no key has the secret presented.
	ErrUnknownKey = failure.Kind("auth: unknown API key")
	// ErrNoKey means that no secret, or a malformed one, was presented.
	ErrNoKey = failure.Kind("auth: no API key")
	// ErrForbidden means that the key's role does not permit the action.
	ErrForbidden = failure.Kind("auth: role does not permit this")
)

// Digest returns the hexadecimal SHA-256 of a secret, as catalog.Key keeps it.
func Digest(secret string) string {
	return keyhash.Of(secret).String()
}

// Generate reads 256 random bits from randomness and returns a new secret and its digest.
func Generate(randomness io.Reader) (secret, digest string, err error) {
	var random [secretBytes]byte
	if _, err := io.ReadFull(randomness, random[:]); err != nil {
		return "", "", fmt.Errorf("reading randomness for an API key: %w", err)
	}
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(random[:])
	return secret, Digest(secret), nil
}

// Authenticate returns the key whose secret is the bearer token. Its errors wrap ErrNoKey or ErrUnknownKey. It costs
// one SHA-256 of the token and one map lookup by the digest: the lookup's timing depends on the digest only, from
// which an attacker learns nothing about a secret, and the final comparison takes constant time.
func Authenticate(snapshot *catalog.Snapshot, bearer string) (catalog.Key, error) {
	if bearer == "" || len(bearer) > maxBearerBytes {
		return catalog.Key{}, fmt.Errorf("authenticating: %w", ErrNoKey)
	}
	digest := digestOf(bearer)
	key, known := snapshot.Keys[string(digest[:])]
	if !known || !sameDigest(digest, key.Digest) {
		return catalog.Key{}, fmt.Errorf("authenticating: %w", ErrUnknownKey)
	}
	return key, nil
}

// Administrator authenticates for the admin API. bootstrapDigest, from the node's settings, is the digest of a key
// with the admin role that counts only while the configuration holds no admin key: it opens a new fleet, and lets the
// holder of the machines back in after the last admin key was deleted.
func Administrator(snapshot *catalog.Snapshot, bootstrapDigest, bearer string) (catalog.Key, error) {
	key, err := Authenticate(snapshot, bearer)
	if err == nil {
		return key, nil
	}
	if bootstrapDigest == "" || bearer == "" || len(bearer) > maxBearerBytes || hasAdminKey(snapshot) {
		return catalog.Key{}, err
	}
	if !sameDigest(digestOf(bearer), bootstrapDigest) {
		return catalog.Key{}, err
	}
	return catalog.Key{ID: bootstrapKeyID, Role: catalog.RoleAdmin, Digest: bootstrapDigest}, nil
}

func hasAdminKey(snapshot *catalog.Snapshot) bool {
	for _, key := range snapshot.Keys {
		if key.Role == catalog.RoleAdmin {
			return true
		}
	}
	return false
}

func digestOf(bearer string) (digest [digestHexBytes]byte) {
	sum := sha256.Sum256([]byte(bearer))
	hex.Encode(digest[:], sum[:])
	return digest
}

func sameDigest(computed [digestHexBytes]byte, stored string) bool {
	return subtle.ConstantTimeCompare(computed[:], []byte(stored)) == 1
}
