// Package prefix computes the keys of a prompt's prefixes.
//
// A prompt is cut at the end of each message and at each multiple of a cache block. The key of a cut is a hash of the
// previous key and of the text in between, and the chain starts from the team, the model and the weights version.
// Equal keys therefore mean equal prompts of the same team on the same weights, up to collisions of a 64-bit hash. A
// collision can only mislead the choice of an engine: engines match their cache by text under the salt that Salt
// returns.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// blockBytes is the estimated size of the text of one cache block.
	blockBytes = int(qm.BlockTokens) * qm.BytesPerToken
	// saltBytes is the length of the salt, a prefix of a SHA-256 sum: 128 bits make an accidental collision among
	// 12,000 teams, the target size, negligible.
	saltBytes = 16
)

// The kinds of cuts. They are part of the hash, so that text cannot imitate the end of a message.
const (
	cutBlock   = 'b'
	cutMessage = 'm'
)

// Scope is what a cache entry depends on besides the text.
type Scope struct {
	Team    qm.TeamID
	Model   qm.ModelID
	Version qm.VersionID
}

// Salt returns the string that engines mix into their cache keys. It reveals neither the team nor the weights
// version.
func (s Scope) Salt() string {
	sum := s.sum()
	return hex.EncodeToString(sum[:saltBytes])
}

// Root returns the key of the empty prompt, from which every chain of the scope starts.
func (s Scope) Root() qm.PrefixKey {
	sum := s.sum()
	return qm.PrefixKey(binary.LittleEndian.Uint64(sum[:8]))
}

// sum hashes the fields with their lengths, so that no two scopes have the same encoding.
func (s Scope) sum() [sha256.Size]byte {
	buf := make([]byte, 0, 256)
	for _, f := range []string{string(s.Team), string(s.Model), string(s.Version)} {
		buf = binary.AppendUvarint(buf, uint64(len(f)))
		buf = append(buf, f...)
	}
	return sha256.Sum256(buf)
}

// Spans returns the prefix spans of a prompt, shortest first. Their ends are estimates in tokens.
func (s Scope) Spans(messages []qm.Message) []qm.PrefixSpan {
	return s.Append(nil, messages)
}

// Append appends the prefix spans of a prompt to dst and returns the extended slice.
func (s Scope) Append(dst []qm.PrefixSpan, messages []qm.Message) []qm.PrefixSpan {
	key, at := s.Root(), 0
	for _, m := range messages {
		text, role := m.Content, m.Role
		for room := blockBytes - at%blockBytes; len(text) > room; room = blockBytes {
			at += room
			key = hashCut(key, cutBlock, role, text[:room])
			dst = append(dst, qm.PrefixSpan{Key: key, End: qm.EstimateTokens(at)})
			text, role = text[room:], ""
		}
		at += len(text)
		key = hashCut(key, cutMessage, role, text)
		dst = append(dst, qm.PrefixSpan{Key: key, End: qm.EstimateTokens(at)})
	}
	return dst
}

// hashCut returns the key of a cut. role is empty except for the first cut of a message.
func hashCut(prev qm.PrefixKey, cut byte, role, text string) qm.PrefixKey {
	var head [13]byte
	binary.LittleEndian.PutUint64(head[:8], uint64(prev))
	head[8] = cut
	binary.LittleEndian.PutUint32(head[9:], uint32(len(role)))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(role)
	_, _ = d.WriteString(text)
	return qm.PrefixKey(d.Sum64())
}

// NextKey returns the key of the prefix that extends the one with key prev by a segment identified by id. Load generators
// use it to build chains without text.
func NextKey(prev qm.PrefixKey, id uint64) qm.PrefixKey {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], uint64(prev))
	binary.LittleEndian.PutUint64(buf[8:], id)
	return qm.PrefixKey(xxhash.Sum64(buf[:]))
}
