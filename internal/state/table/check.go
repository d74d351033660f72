package table

import (
	"fmt"
	"slices"
	"strings"
)

// validate checks that no other team has the key of a team in keys and, if keys has rows of other kinds, all references
// of the table. The command line and the fold share it. The fold passes only the rows that an edit changes: teams refer
// to no other row, and a check of all 12,000 teams for each edit would cost more than the edit. Cells were checked by
// NewRow.
func (t *Table) validate(keys []Key) []Problem {
	var out []Problem
	checkReferences := false
	for _, k := range keys {
		if k.Kind != Team {
			checkReferences = true
			continue
		}
		r := t.Row(k)
		if r == nil {
			continue
		}
		if h := r.Cell("Key"); h != "" && t.teamsPerKey[h] > 1 {
			others := t.teamsWithKey(h, k.Name)
			out = append(out, Problem{Row: k, Column: "Key", Reason: "same key as team " + strings.Join(others, ", ")})
		}
	}
	if checkReferences {
		out = append(out, t.referenceProblems()...)
	}
	return out
}

func (t *Table) teamsWithKey(hash, except string) []string {
	var out []string
	for name, r := range t.rows[Team] {
		if name != except && r.Cell("Key") == hash {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// referenceProblems checks the references of all rows but teams, of which a table has a few hundred.
func (t *Table) referenceProblems() []Problem {
	var out []Problem
	for _, kind := range Kinds() {
		if kind == Team {
			continue
		}
		for _, name := range sortedKeys(t.rows[kind]) {
			r := t.rows[kind][name]
			for _, c := range layouts[kind].columns {
				if c.Refers == "" {
					continue
				}
				for _, target := range r.nameList(c.Name) {
					if reason := t.checkReference(r, c, target); reason != "" {
						out = append(out, Problem{Row: r.Key, Column: c.Name, Reason: reason})
					}
				}
			}
		}
	}
	return append(out, t.sharedGroupProblems()...)
}

// checkReference returns the reason why the reference from r to target is invalid, or an empty string.
func (t *Table) checkReference(r *Row, c Column, target string) string {
	other := t.Row(Key{Kind: c.Refers, Name: target})
	if other == nil {
		return fmt.Sprintf("there is no %s %q", c.Refers, target)
	}
	if r.Kind == Model && (c.Refers == Version || c.Refers == Adapter) && other.Cell("Model") != r.Name {
		return fmt.Sprintf("%s %q belongs to model %q", c.Refers, target, other.Cell("Model"))
	}
	return ""
}

// sharedGroupProblems reports each model whose group an earlier model already uses. An engine has one version loaded,
// so a group serves one model.
func (t *Table) sharedGroupProblems() []Problem {
	var out []Problem
	first := make(map[string]string)
	for _, name := range sortedKeys(t.rows[Model]) {
		g := t.rows[Model][name].Cell("Group")
		if other, ok := first[g]; ok && g != "" {
			out = append(out, Problem{
				Row: Key{Kind: Model, Name: name}, Column: "Group",
				Reason: fmt.Sprintf("group %q already serves model %q", g, other),
			})
			continue
		}
		first[g] = name
	}
	return out
}
