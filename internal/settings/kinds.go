package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"unicode"
)

// Name is a short name of a node, zone or region.
type Name string

// Address is an IP address and a port; names are refused, so that no lookup stands between a node and its peers.
type Address string

// Loopback says whether only this machine can reach the address.
func (a Address) Loopback() bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}

// Unspecified says whether the address stands for every address of the machine.
func (a Address) Unspecified() bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Addr().Unmap().IsUnspecified()
}

// Path is the path of a file or folder.
type Path string

// Digest is a SHA-256 digest in hexadecimal.
type Digest string

// Size is a number of bytes.
type Size int64

const (
	kibibyte Size = 1 << 10
	mebibyte Size = 1 << 20
	gibibyte Size = 1 << 30
)

// String writes the size with the largest unit that divides it.
func (s Size) String() string {
	switch {
	case s != 0 && s%gibibyte == 0:
		return strconv.FormatInt(int64(s/gibibyte), 10) + "GiB"
	case s != 0 && s%mebibyte == 0:
		return strconv.FormatInt(int64(s/mebibyte), 10) + "MiB"
	case s != 0 && s%kibibyte == 0:
		return strconv.FormatInt(int64(s/kibibyte), 10) + "KiB"
	default:
		return strconv.FormatInt(int64(s), 10)
	}
}

var sizePattern = regexp.MustCompile(`^([0-9]{1,18}) ?(KiB|MiB|GiB|B)?$`)

func parseSize(text string) (Size, error) {
	match := sizePattern.FindStringSubmatch(text)
	if match == nil {
		return 0, fmt.Errorf("%w: %q is not a size such as 512, 64KiB, 4MiB or 1GiB", ErrBadValue, text)
	}
	number, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %q is not a size", ErrBadValue, text)
	}
	unit := Size(1)
	switch match[2] {
	case "KiB":
		unit = kibibyte
	case "MiB":
		unit = mebibyte
	case "GiB":
		unit = gibibyte
	}
	if Size(number) > (1<<62)/unit {
		return 0, fmt.Errorf("%w: %q is too large", ErrBadValue, text)
	}
	return Size(number) * unit, nil
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,62})$`)

func parseName(text string) (Name, error) {
	if !namePattern.MatchString(text) {
		return "", fmt.Errorf("%w: %q is not a name: 1 to 63 letters, digits, dots, dashes or underscores, first a letter or digit", ErrBadValue, text)
	}
	return Name(text), nil
}

func parseAddress(text string) (Address, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return "", fmt.Errorf("%w: %q is not an IP address and port such as 10.0.0.1:8080 or [fd00::1]:8080", ErrBadValue, text)
	}
	return Address(parsed.String()), nil
}

func parsePath(text string) (Path, error) {
	if strings.ContainsFunc(text, unicode.IsControl) {
		return "", fmt.Errorf("%w: the path has control characters", ErrBadValue)
	}
	if text == "" {
		return "", nil
	}
	return Path(filepath.Clean(text)), nil
}

func parseDigest(text string) (Digest, error) {
	const sha256Bytes = 32
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != sha256Bytes {
		return "", fmt.Errorf("%w: not a SHA-256 digest of 64 hexadecimal digits", ErrBadValue)
	}
	return Digest(strings.ToLower(text)), nil
}
