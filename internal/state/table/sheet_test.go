package table_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/state/table"
)

var keyA, keyB = table.HashKey("a"), table.HashKey("b")

// TestReadSheetReportsAllProblems guards against a sheet whose later errors are hidden by the first one.
func TestReadSheetReportsAllProblems(t *testing.T) {
	tests := []struct {
		name, sheet string
		want        []string
	}{
		{"valid", "Kind,Name,Key,Weight\nteam,x," + keyA + ",2\n", nil},
		{"byte order mark and CRLF", "\ufeffKind,Name,Key\r\nteam,x," + keyA + "\r\n", nil},
		{"empty", "", []string{"line 1: the sheet has no header line"}},
		{"header", "Kind,Nmae,Kind\n", []string{
			"line 1: Nmae: no kind of row has a column of this name",
			"line 1: Kind: the column is there twice",
			"line 1: Name: the column is missing",
		}},
		{"cells", "Kind,Name,Key,Weight,Fences,Engines\nteam,x,zz,0,,\ngroup,g,,1,maybe,1.5\n", []string{
			"line 2: team x: Key: is not the hex form of 32 bytes",
			`line 2: team x: Weight: "0" is outside 0.01 to 1000`,
			`line 3: group g: Engines: "1.5" is not a whole number`,
			`line 3: group g: Fences: "maybe" is neither yes nor no`,
			"line 3: group g: Weight: a group row has no such column",
		}},
		{"rows", "Kind,Name,Key\nteam,x," + keyA + "\nteam,x," + keyB + "\nteam,y," + keyA + "\nclub,z,\nteam,q\n", []string{
			"line 3: team x: the row is also on line 2",
			`line 5: club z: Kind: "club" is not a kind of row`,
			"line 6: 2 fields, but the header has 3",
			"line 2: team x: Key: same key as team y",
			"line 4: team y: Key: same key as team x",
		}},
		{"references", "Kind,Name,Group,Version,Model\nmodel,m,g,v,\nmodel,n,g,v,\nversion,v,,,n\ngroup,g,,,\n", []string{
			`line 2: model m: Version: version "v" belongs to model "n"`,
			`line 3: model n: Group: group "g" already serves model "m"`,
		}},
		{"quotes", "Kind,Name\ngroup,\"g\n", []string{"line 2: extraneous or missing \" in quoted-field"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := table.ReadSheet(strings.NewReader(tt.sheet))
			var invalid *table.ValidationError
			var got []string
			if errors.As(err, &invalid) {
				for _, p := range invalid.Problems {
					got = append(got, p.String())
				}
			} else if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Errorf("problems (-want +got):\n%s", d)
			}
		})
	}
}

// FuzzSheet guards against a sheet that is accepted but differs or is invalid after it was written and read again.
func FuzzSheet(f *testing.F) {
	for _, name := range []string{"ledgerwell.csv", "vatulele.csv"} {
		data, err := os.ReadFile("../../../examples/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("Kind,Name,Weight\nteam,\"x\ny\",1e400\n"))
	f.Add([]byte("Kind,Name,Engines\ngroup,g,-0\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		sheet, err := table.ReadSheet(bytes.NewReader(data))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := table.WriteSheet(&out, sheet.Rows); err != nil {
			t.Fatal(err)
		}
		again, err := table.ReadSheet(&out)
		if err != nil {
			t.Fatalf("a written sheet is not valid: %v", err)
		}
		all := table.New()
		if len(sheet.Rows) > 0 {
			if p := all.Check(all.Diff(sheet.Rows, false)); len(p) > 0 {
				t.Fatalf("a valid sheet is not a valid table: %v", p)
			}
		}
		if len(again.Rows) != len(sheet.Rows) {
			t.Fatalf("%d rows, want %d", len(again.Rows), len(sheet.Rows))
		}
	})
}
