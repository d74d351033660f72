package loadgn

import (
	"fmt"
	"strings"

	qm "quetzalmount.dev/quetzalmount"
)

// contexts and seasons are the numbers of different second and third levels of a team's prompts.
const (
	contexts = 4
	seasons  = 6
)

// prompt is a prompt of three nested levels and a question.
type prompt struct {
	messages []qm.Message
	keys     []string    // one for each level, equal for equal prefixes
	ends     []qm.Tokens // tokens up to the end of each level
}

// newPrompt picks a prompt of a team. Low numbers of a level are hotter than high ones.
func (r *Run) newPrompt(team string, n int64) prompt {
	r.mu.Lock()
	c := min(r.rnd.IntN(contexts), r.rnd.IntN(contexts))
	s := min(r.rnd.IntN(seasons), r.rnd.IntN(seasons))
	r.mu.Unlock()
	var p prompt
	end := qm.Tokens(0)
	for i, name := range []string{
		fmt.Sprintf("rules of %s", team),
		fmt.Sprintf("context %d of %s", c, team),
		fmt.Sprintf("season %d in context %d of %s", s, c, team),
	} {
		text := fill(name, r.opts.PromptTokens[i])
		end += qm.EstimateTokens(len(text))
		p.messages = append(p.messages, qm.Message{Role: "system", Content: text})
		p.keys = append(p.keys, name)
		p.ends = append(p.ends, end)
	}
	p.messages = append(p.messages, qm.Message{Role: "user", Content: fmt.Sprintf("question %d: what is line %d?", n, n%97)})
	return p
}

// fill repeats a text up to a number of tokens.
func fill(text string, tokens int) string {
	size := tokens * qm.BytesPerToken
	return strings.Repeat(text+". ", size/(len(text)+2)+1)[:size]
}
