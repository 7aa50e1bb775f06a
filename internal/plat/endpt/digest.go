package endpt

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
)

const (
	digestHeader = "Content-Digest"
	algorithm    = "sha-256"
	// encodedLen is the length of an encoded SHA-256 sum in base64 characters.
	encodedLen = 44
)

// parseDigest returns the SHA-256 sum in the lines of a Content-Digest header, a dictionary of
// byte sequences (RFC 9530, RFC 8941). It ignores members of other algorithms and returns the
// last one of several sha-256 members. It returns an ErrDigest.
func parseDigest(lines []string) (sum [sha256.Size]byte, err error) {
	found := false
	for _, line := range lines {
		for member := range strings.SplitSeq(line, ",") {
			key, value, _ := strings.Cut(strings.Trim(member, " \t"), "=")
			if key != algorithm {
				continue
			}
			if !decodeSum(&sum, value) {
				return sum, ErrDigest.New("malformed value %q", value)
			}
			found = true
		}
	}
	if !found {
		return sum, ErrDigest.New("no sha-256 sum")
	}
	return sum, nil
}

// decodeSum decodes a byte sequence of the form :base64: and ignores its parameters. It reports
// whether the value is valid.
func decodeSum(sum *[sha256.Size]byte, value string) bool {
	value, _, _ = strings.Cut(value, ";")
	if len(value) != encodedLen+2 || value[0] != ':' || value[encodedLen+1] != ':' {
		return false
	}
	var encoded [encodedLen]byte
	// The decoder may write more bytes than it returns for malformed input.
	var raw [encodedLen / 4 * 3]byte
	copy(encoded[:], value[1:])
	n, err := base64.StdEncoding.Strict().Decode(raw[:], encoded[:])
	if err != nil || n != sha256.Size {
		return false
	}
	copy(sum[:], raw[:])
	return true
}
