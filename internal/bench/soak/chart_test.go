package soak

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a chart that is not well-formed, lacks an account, its title or the labels of its axes, or
// grows with the length of the run or the number of accounts.
func TestChartHasALineForEachAccount(t *testing.T) {
	for _, accounts := range []int{1, 3, maxLines, 3 * maxLines} {
		var s shares
		for i := range 5 * maxSamples {
			s.add(time.Duration(i)*sampleInterval, func() map[string]int {
				out := map[string]int{}
				for a := range accounts {
					out[fmt.Sprintf("a<%02d>", a)] = 100*(a+1) + i
				}
				return out
			})
		}
		sums := 0.0
		for _, line := range s.lines() {
			assert.Equal(t, len(line), len(s.all))
			sums += line[7].Y
		}
		assert.Assert(t, sums > 99.9 && sums < 100.1 && len(s.all) <= maxSamples)
		dir := t.TempDir()
		assert.NilError(t, s.write(dir, "title & seed"))
		data, err := os.ReadFile(filepath.Join(dir, chartFile))
		assert.NilError(t, err)
		assert.Assert(t, len(data) < 300<<10, "%d bytes", len(data))
		var texts []string
		long := 0
		for d := xml.NewDecoder(strings.NewReader(string(data))); ; {
			token, err := d.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			assert.NilError(t, err)
			switch token := token.(type) {
			case xml.CharData:
				texts = append(texts, strings.TrimSpace(string(token)))
			case xml.StartElement:
				for _, a := range token.Attr {
					if token.Name.Local == "path" && a.Name.Local == "d" && strings.Count(a.Value, "L") >= len(s.all)/2 {
						long++
					}
				}
			}
		}
		all := strings.Join(texts, "|")
		assert.Equal(t, long, min(accounts, maxLines))
		for _, want := range []string{"title & seed", "time in s", "share of running cores in %", fmt.Sprintf("a<%02d>", accounts-1)} {
			assert.Assert(t, strings.Contains(all, want), "%s: %s", want, all)
		}
		assert.Equal(t, strings.Contains(all, othersName), accounts > maxLines)
	}
	var none shares
	assert.NilError(t, none.write(t.TempDir(), ""))
	none.add(0, func() map[string]int { return map[string]int{"a": 1} })
	assert.NilError(t, none.write(t.TempDir(), ""), "a run of one sample")
}
