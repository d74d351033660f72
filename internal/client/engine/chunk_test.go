package engine

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
)

// TestDecodeChunk checks that no field of a chunk is lost, and that malformed, incomplete and mismatched chunks are
// rejected.
func TestDecodeChunk(t *testing.T) {
	tests := []struct {
		name, data string
		want       qm.Chunk
		ok         bool
	}{
		{"middle", `{"id":"r","object":"x","choices":[{"index":0,"delta":{"content":" \u00e9\n","role":null},"finish_reason":null}],"usage":null}`, qm.Chunk{Number: 3, Text: " é\n"}, true},
		{"last", `{"id":"r","choices":[{"delta":{},"finish_reason":"stop"}],"cached_tokens":4,"usage":{"prompt_tokens":7,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}`,
			qm.Chunk{Number: 3, FinishReason: "stop", CachedTokens: 4, Usage: &qm.Usage{PromptTokens: 7, OutputTokens: 2, CachedTokens: 4}}, true},
		{"other request", `{"id":"q","choices":[{"delta":{"content":"x"}}]}`, qm.Chunk{}, false},
		{"no id", `{"choices":[{"delta":{"content":"x"}}]}`, qm.Chunk{}, false},
		{"no choice", `{"id":"r","choices":[]}`, qm.Chunk{}, false},
		{"two choices", `{"id":"r","choices":[{},{}]}`, qm.Chunk{}, false},
		{"negative tokens", `{"id":"r","choices":[{}],"cached_tokens":-1}`, qm.Chunk{}, false},
		{"cut off", `{"id":"r","choices":[{"delta":{"content":"x"}}]`, qm.Chunk{}, false},
		{"two values", `{"id":"r","choices":[{}]}{}`, qm.Chunk{}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := decodeChunk(event{id: 3, data: []byte(tt.data)}, "r")
			if diff := cmp.Diff(tt.want, got); diff != "" || (err == nil) != tt.ok {
				t.Errorf("decodeChunk() error = %v (-want +got):\n%s", err, diff)
			}
		})
	}
	if _, err := decodeChunk(event{id: -1, data: []byte(tests[0].data)}, "r"); err == nil {
		t.Error("decodeChunk() accepted a chunk without a number")
	}
}
