package loadgn

import (
	"fmt"
	"strings"

	qm "quetzalmount.dev/quetzalmount"
)

// Numbers of different prefixes at the second and third level of a team's prompts.
const (
	numContexts = 4
	numSeasons  = 6
)

// prompt is a prompt of three nested prefix levels and a question.
type prompt struct {
	messages []qm.Message
	keys     []string    // identifies the prefix that ends with each level
	ends     []qm.Tokens // length in tokens of the prefix that ends with each level
}

// newPrompt returns a random prompt of a team. At each level, low numbers are more frequent than high ones.
func (r *Run) newPrompt(team string, n int64) prompt {
	r.mu.Lock()
	c := min(r.rnd.IntN(numContexts), r.rnd.IntN(numContexts))
	s := min(r.rnd.IntN(numSeasons), r.rnd.IntN(numSeasons))
	r.mu.Unlock()
	var p prompt
	end := qm.Tokens(0)
	for i, name := range []string{
		fmt.Sprintf("rules of %s", team),
		fmt.Sprintf("context %d of %s", c, team),
		fmt.Sprintf("season %d in context %d of %s", s, c, team),
	} {
		text := repeatText(name, r.opts.PromptTokens[i])
		end += qm.EstimateTokens(len(text))
		p.messages = append(p.messages, qm.Message{Role: "system", Content: text})
		p.keys = append(p.keys, name)
		p.ends = append(p.ends, end)
	}
	p.messages = append(p.messages, qm.Message{Role: "user", Content: fmt.Sprintf("question %d: what is line %d?", n, n%97)})
	return p
}

// repeatText repeats a text up to a length in tokens.
func repeatText(text string, tokens int) string {
	size := tokens * qm.BytesPerToken
	return strings.Repeat(text+". ", size/(len(text)+2)+1)[:size]
}
