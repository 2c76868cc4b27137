package checker

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"strings"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// digestPrefixLen is the number of hex digits of a digest that are shown. They suffice to tell keys apart, and are no key.
const digestPrefixLen = 8

// KeyDigest returns the beginning of the SHA-256 digest of a key, which may be shown.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])[:digestPrefixLen]
}

// FormatKeys returns the number of the keys and the beginnings of their digests, in no order that the file gives.
func FormatKeys(keys []string) string {
	digests := make([]string, 0, len(keys))
	for _, k := range keys {
		digests = append(digests, KeyDigest(k))
	}
	slices.Sort(digests)
	noun := " keys"
	if len(keys) == 1 {
		noun = " key"
	}
	return strings.TrimSpace(strconv.Itoa(len(keys)) + noun + " " + strings.Join(digests, " "))
}

// WithoutSecrets returns a copy of a configuration in which the digest of each token is replaced by its beginning.
func WithoutSecrets(set model.ConfigSet) model.ConfigSet {
	set.Callers, set.Operators = maps.Clone(set.Callers), maps.Clone(set.Operators)
	for id, c := range set.Callers {
		c.TokenSHA256 = formatTokenDigest(c.TokenSHA256)
		set.Callers[id] = c
	}
	for id, o := range set.Operators {
		o.TokenSHA256 = formatTokenDigest(o.TokenSHA256)
		set.Operators[id] = o
	}
	return set
}

// formatTokenDigest returns the beginning of a digest. What is no digest may be the token itself, so its own digest is used.
func formatTokenDigest(digest string) string {
	if raw, err := hex.DecodeString(digest); err != nil || len(raw) != sha256.Size {
		digest = KeyDigest(digest)
	}
	return "1 key " + digest[:digestPrefixLen]
}
