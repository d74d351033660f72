package table

import (
	"bufio"
	"encoding/csv"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// Sheet is the content of a valid sheet.
type Sheet struct {
	Rows  []*Row
	lines map[Key]int
}

// ReadSheet reads a CSV sheet and validates it as a whole table. It returns a *ValidationError with all problems of an
// invalid sheet.
func ReadSheet(r io.Reader) (*Sheet, error) {
	p := &parser{sheet: &Sheet{lines: make(map[Key]int)}}
	if err := p.read(r); err != nil {
		return nil, err
	}
	// References are checked over all parsed rows, so that an invalid cell does not hide an invalid reference.
	t := New()
	for _, row := range p.sheet.Rows {
		t.put(row)
	}
	for _, problem := range t.validate(p.sheet.keys()) {
		if p.invalidRows[problem.Row] {
			continue
		}
		problem.Line = p.sheet.lines[problem.Row]
		p.problems = append(p.problems, problem)
	}
	if len(p.problems) > 0 {
		return nil, &ValidationError{Problems: p.problems}
	}
	return p.sheet, nil
}

func (s *Sheet) keys() []Key {
	out := make([]Key, len(s.Rows))
	for i, r := range s.Rows {
		out[i] = r.Key
	}
	return out
}

type parser struct {
	sheet       *Sheet
	header      []string
	invalidRows map[Key]bool
	problems    []Problem
}

func (p *parser) addProblem(line int, key Key, column, format string, args ...any) {
	p.problems = append(p.problems, Problem{Line: line, Row: key, Column: column, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) read(r io.Reader) error {
	p.invalidRows = make(map[Key]bool)
	buf := bufio.NewReader(r)
	if bom, err := buf.Peek(3); err == nil && string(bom) == "\ufeff" {
		buf.Discard(3) // skips the byte order mark that spreadsheet programs write
	}
	c := csv.NewReader(buf)
	c.FieldsPerRecord = -1 // readRow reports a wrong number of fields
	for {
		fields, err := c.Read()
		if err == io.EOF {
			break
		}
		var syntax *csv.ParseError
		if errors.As(err, &syntax) {
			p.addProblem(syntax.Line, Key{}, "", "%v", syntax.Err)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "read sheet")
		}
		line, _ := c.FieldPos(0)
		if p.header == nil {
			p.setHeader(line, fields)
			continue
		}
		p.readRow(line, fields)
	}
	if p.header == nil {
		p.addProblem(1, Key{}, "", "the sheet has no header line")
	}
	return nil
}

func (p *parser) setHeader(line int, fields []string) {
	known, seen := make(map[string]bool), make(map[string]bool)
	for _, n := range ColumnNames() {
		known[n] = true
	}
	for _, f := range fields {
		switch {
		case !known[f]:
			p.addProblem(line, Key{}, f, "no kind of row has a column of this name")
		case seen[f]:
			p.addProblem(line, Key{}, f, "the column is there twice")
		}
		seen[f] = true
	}
	for _, f := range []string{"Kind", "Name"} {
		if !seen[f] {
			p.addProblem(line, Key{}, f, "the column is missing")
		}
	}
	p.header = append([]string{}, fields...)
}

func (p *parser) readRow(line int, fields []string) {
	if len(fields) != len(p.header) {
		p.addProblem(line, Key{}, "", "%d fields, but the header has %d", len(fields), len(p.header))
		return
	}
	var key Key
	cells := make(map[string]string)
	for i, f := range fields {
		switch p.header[i] {
		case "Kind":
			key.Kind = Kind(f)
		case "Name":
			key.Name = f
		default:
			if f != "" {
				cells[p.header[i]] = f
			}
		}
	}
	if first, ok := p.sheet.lines[key]; ok {
		p.addProblem(line, key, "", "the row is also on line %d", first)
		return
	}
	p.sheet.lines[key] = line
	row, problems := NewRow(key, cells)
	for _, problem := range problems {
		problem.Line = line
		p.problems = append(p.problems, problem)
	}
	p.invalidRows[key] = len(problems) > 0
	if row != nil {
		p.sheet.Rows = append(p.sheet.Rows, row)
	}
}

// WriteSheet writes rows as a CSV sheet, ordered by kind and name.
func WriteSheet(w io.Writer, rows []*Row) error {
	rows = append([]*Row(nil), rows...)
	sortRows(rows)
	c := csv.NewWriter(w)
	header := ColumnNames()
	if err := c.Write(header); err != nil {
		return errors.Wrap(err, "write sheet")
	}
	fields := make([]string, len(header))
	for _, r := range rows {
		fields[0], fields[1] = string(r.Kind), r.Name
		for i, column := range header[2:] {
			fields[i+2] = r.Cell(column)
		}
		if err := c.Write(fields); err != nil {
			return errors.Wrap(err, "write sheet")
		}
	}
	c.Flush()
	return errors.Wrap(c.Error(), "write sheet")
}
