package config

import (
	"fmt"
	"strings"
)

// Problem is an error in a settings file.
type Problem struct {
	File string
	// Line and Column start at 1. They are 0 if the file can't be read.
	Line   int
	Column int
	// Field is the path of the field, such as listen.callers.
	Field string
	// Text describes the error and the expected value.
	Text string
}

func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.File, p.Text)
	}
	if p.Field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Field, p.Text)
}

// Problems holds all errors in a settings file, sorted by position.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}
