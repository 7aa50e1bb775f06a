package config

import (
	"bytes"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Load reads and checks a settings file. It returns Problems with every error found.
func Load(path string) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, Problems{{File: path, Text: err.Error()}}
	}
	return Parse(path, data)
}

// Parse parses and checks settings. It returns Problems, which contain the file's name.
func Parse(file string, data []byte) (Config, error) {
	cfg := Default()
	p := &parser{file: file, data: data}
	root, err := hujson.Parse(data)
	if err != nil {
		return Config{}, p.syntaxProblem(err)
	}
	p.parseObject(&root, "", schema(&cfg))
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

// parseFunc reads a value into its destination. It returns a description of what is wrong with
// the value, empty if it is valid.
type parseFunc func(v *hujson.Value) string

// field describes one member of an object. Exactly one of parse and fields is set.
type field struct {
	name     string
	required bool
	parse    parseFunc
	fields   []field
	// check checks the object after all of its fields were read without a problem. It
	// returns a description of what is wrong, empty for nothing.
	check func() string
}

// syntaxProblem converts an error of the hujson parser, which starts with
// "hujson: line L, column C: ", to a problem.
func (p *parser) syntaxProblem(err error) Problems {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	problem := Problem{File: p.file, Line: 1, Column: 1, Text: text}
	head, rest, ok := strings.Cut(text, ": ")
	line, column, found := strings.Cut(strings.TrimPrefix(head, "line "), ", column ")
	if ok && found {
		problem.Line, _ = strconv.Atoi(line)
		problem.Column, _ = strconv.Atoi(column)
		problem.Text = rest
	}
	return Problems{problem}
}

// addProblem adds a problem at a byte offset of the file.
func (p *parser) addProblem(offset int, path, text string) {
	before := p.data[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := offset - bytes.LastIndexByte(before, '\n')
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Column: column, Field: path, Text: text})
}

// parseObject reads an object at a path with the given fields.
func (p *parser) parseObject(v *hujson.Value, path string, fields []field) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addProblem(v.StartOffset, path, "expected an object")
		return
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		p.parseMember(&obj.Members[i], path, fields, seen)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			p.addProblem(v.StartOffset, join(path, f.name), "required field is missing")
		}
	}
}

// parseMember reads one member of an object. The names in seen were read before.
func (p *parser) parseMember(m *hujson.ObjectMember, path string, fields []field, seen map[string]bool) {
	name := literal(&m.Name).String()
	fullPath := join(path, name)
	i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if i < 0 {
		p.addProblem(m.Name.StartOffset, fullPath, "unknown field; known fields are "+fieldNames(fields))
		return
	}
	if seen[name] {
		p.addProblem(m.Name.StartOffset, fullPath, "field is given twice")
		return
	}
	seen[name] = true
	p.parseValue(&m.Value, fullPath, fields[i])
}

// parseValue reads the value of a field, and checks it if it is an object.
func (p *parser) parseValue(v *hujson.Value, path string, f field) {
	if f.parse != nil {
		if text := f.parse(v); text != "" {
			p.addProblem(v.StartOffset, path, text)
		}
		return
	}
	before := len(p.problems)
	p.parseObject(v, path, f.fields)
	if f.check == nil || len(p.problems) > before {
		return
	}
	if text := f.check(); text != "" {
		p.addProblem(v.StartOffset, path, text)
	}
}

// literal returns the value as a literal, nil if it is an object or an array.
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

func fieldNames(fields []field) string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, f.name)
	}
	return strings.Join(out, ", ")
}
