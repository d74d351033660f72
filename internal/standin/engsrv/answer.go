package engsrv

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// defaultMaxTokens limits the answer to a request without max_tokens.
const defaultMaxTokens = 64

// earlyStopDivisor makes the answers to one in earlyStopDivisor prompts finish with "stop" before max_tokens.
const earlyStopDivisor = 4

// answer is the text that the engine generates for a prompt. It depends only on the messages and the chunk number, so that
// every engine gives the same answer. Each chunk is one token.
type answer struct {
	seed   uint64
	length int64
	finish string
}

func newAnswer(messages []qm.Message, maxTokens int64) answer {
	d := xxhash.New()
	for _, m := range messages {
		// The separators keep prompts distinct whose messages concatenate to the same text.
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x01")
	}
	a := answer{seed: d.Sum64(), length: maxTokens, finish: "length"}
	if a.length <= 0 {
		a.length = defaultMaxTokens
	}
	if a.seed%earlyStopDivisor == 0 {
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

// AnswerText returns the complete answer of an engine without faults, for comparison.
func AnswerText(messages []qm.Message, maxTokens qm.Tokens) string {
	a := newAnswer(messages, int64(maxTokens))
	return a.text(a.length)
}
