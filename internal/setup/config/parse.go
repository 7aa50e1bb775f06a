package config

import (
	"bytes"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Load reads and checks a settings file. It returns Problems with every fault found.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, Problems{{File: path, Text: err.Error()}}
	}
	return Parse(path, data)
}

// Parse checks settings and names the file in problems. It returns Problems.
func Parse(file string, data []byte) (Config, error) {
	cfg := Default()
	p := &parser{file: file, data: data}
	root, err := hujson.Parse(data)
	if err != nil {
		return Config{}, p.syntax(err)
	}
	p.object(&root, "", schema(&cfg))
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, byPosition)
		return Config{}, p.problems
	}
	return cfg, nil
}

func byPosition(a, b Problem) int {
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	return a.Column - b.Column
}

type parser struct {
	file     string
	data     []byte
	problems Problems
}

// parseFunc reads a value into its destination and returns what is wrong with it.
type parseFunc func(v *hujson.Value) string

// field describes one member of an object. Exactly one of parse and fields is set.
type field struct {
	name     string
	required bool
	parse    parseFunc
	fields   []field
	// check looks at the whole object after its fields were read.
	check func() string
}

// syntax turns an error of the hujson parser, which starts with
// "hujson: line L, column C: ", into a problem.
func (p *parser) syntax(err error) Problems {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	one := Problem{File: p.file, Line: 1, Column: 1, Text: text}
	head, rest, ok := strings.Cut(text, ": ")
	line, column, found := strings.Cut(strings.TrimPrefix(head, "line "), ", column ")
	if ok && found {
		one.Line, _ = strconv.Atoi(line)
		one.Column, _ = strconv.Atoi(column)
		one.Text = rest
	}
	return Problems{one}
}

func (p *parser) add(offset int, path, text string) {
	before := p.data[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n')
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Column: column, Field: path, Text: text})
}

func (p *parser) object(v *hujson.Value, path string, fields []field) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.add(v.StartOffset, path, "expected an object")
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		p.member(&obj.Members[i], path, fields, seen)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			p.add(v.StartOffset, join(path, f.name), "required field is missing")
		}
	}
}

func (p *parser) member(m *hujson.ObjectMember, path string, fields []field, seen map[string]bool) {
	name := literal(&m.Name).String()
	full := join(path, name)
	i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if i < 0 {
		p.add(m.Name.StartOffset, full, "unknown field; known fields are "+names(fields))
		return
	}
	if seen[name] {
		p.add(m.Name.StartOffset, full, "field is given twice")
		return
	}
	seen[name] = true
	p.value(&m.Value, full, fields[i])
}

func (p *parser) value(v *hujson.Value, path string, f field) {
	if f.parse != nil {
		if text := f.parse(v); text != "" {
			p.add(v.StartOffset, path, text)
		}
		return
	}
	before := len(p.problems)
	p.object(v, path, f.fields)
	if f.check == nil || len(p.problems) > before {
		return
	}
	if text := f.check(); text != "" {
		p.add(v.StartOffset, path, text)
	}
}

func literal(v *hujson.Value) hujson.Literal {
	l, _ := v.Value.(hujson.Literal)
	return l
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func names(fields []field) string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, f.name)
	}
	return strings.Join(out, ", ")
}
