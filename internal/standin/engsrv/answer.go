package engsrv

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// defaultLength is the number of chunks of an answer whose request sets no max_tokens.
const defaultLength = 64

// earlyStop is the share of prompts, one in earlyStop, whose answer ends before max_tokens.
const earlyStop = 4

// answer is the text that the engine generates for a prompt: a function of the messages and the chunk number only. Every
// chunk is one token.
type answer struct {
	seed   uint64
	length int64
	finish string
}

func newAnswer(messages []qm.Message, maxTokens int64) answer {
	d := xxhash.New()
	for _, m := range messages {
		// The separators keep two prompts apart whose texts only join to the same string.
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x01")
	}
	a := answer{seed: d.Sum64(), length: maxTokens, finish: "length"}
	if a.length <= 0 {
		a.length = defaultLength
	}
	if a.seed%earlyStop == 0 {
		a.length = 1 + int64((a.seed>>8)%uint64(a.length))
		a.finish = "stop"
	}
	return a
}

// chunk returns the text of chunk n.
func (a answer) chunk(n int64) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], a.seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(n))
	h := xxhash.Sum64(b[:])
	word := make([]byte, 2+h%7)
	for i := range word {
		h = h*6364136223846793005 + 1442695040888963407
		word[i] = 'a' + byte((h>>33)%26)
	}
	return " " + string(word)
}

// text returns the first n chunks.
func (a answer) text(n int64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.chunk(i))
	}
	return b.String()
}

// Text returns the whole answer of an undisturbed engine, for comparison.
func Text(messages []qm.Message, maxTokens qm.Tokens) string {
	a := newAnswer(messages, int64(maxTokens))
	return a.text(a.length)
}
