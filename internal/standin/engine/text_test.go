package engine

import (
	"sort"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
)

func prompt(text string) []engineapi.Message {
	return []engineapi.Message{{Role: "user", Content: text}}
}

func TestTextCanBeSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := prompt(rapid.String().Draw(t, "prompt"))
		seed := rapid.Int64().Draw(t, "seed")
		to := rapid.IntRange(0, 200).Draw(t, "to")
		at := rapid.IntRange(0, to).Draw(t, "at")
		whole := ExpectedText(messages, seed, 0, to)
		if joined := ExpectedText(messages, seed, 0, at) + ExpectedText(messages, seed, at, to); joined != whole {
			t.Fatalf("joined %q, complete %q", joined, whole)
		}
	})
}

func TestCheckTextFindsDifferences(t *testing.T) {
	messages := prompt("draught of flue 3")
	total, _ := ExpectedTokens(messages, 9, 0)
	whole := ExpectedText(messages, 9, 0, total)
	if tokens, _, err := CheckText(messages, whole, 0); err != nil || tokens != total {
		t.Fatalf("complete text: %d tokens, error %v", tokens, err)
	}
	wrong := map[string]string{
		"short":         whole[:len(whole)-tokenLetters-1],
		"other seed":    "8" + whole[1:],
		"one letter":    whole[:len(whole)-2] + "? ",
		"empty":         "",
		"doubled token": whole + whole[len(whole)-tokenLetters-1:],
	}
	for name, text := range wrong {
		if _, _, err := CheckText(messages, text, 0); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, _, err := CheckText(prompt("another"), whole, 0); err == nil {
		t.Error("another prompt: no error")
	}
}

func TestLengthsHaveAHeavyTail(t *testing.T) {
	const draws = 4096
	lengths := make([]int, draws)
	for i := range lengths {
		lengths[i], _ = ExpectedTokens(prompt("report "+strconv.Itoa(i)), 1, 100000)
	}
	sort.Ints(lengths)
	median, longest := lengths[draws/2], lengths[draws-draws/200]
	if median < medianTokens*3/4 || median > medianTokens*5/4 {
		t.Errorf("median %d tokens, want about %d", median, medianTokens)
	}
	if longest < stragglerRatio/2*median {
		t.Errorf("one in 200 is at least %d tokens long, want several times the median %d", longest, median)
	}
}

func TestLengthMark(t *testing.T) {
	cases := []struct {
		content string
		limit   int
		tokens  int
		reason  string
	}{
		{"x #tokens=12 y", 0, 12, engineapi.FinishStop},
		{"x #tokens=12", 5, 5, engineapi.FinishLength},
		{"x #tokens=12", 12, 12, engineapi.FinishStop},
	}
	for _, c := range cases {
		if tokens, reason := ExpectedTokens(prompt(c.content), 1, c.limit); tokens != c.tokens || reason != c.reason {
			t.Errorf("%q up to %d: %d %s, want %d %s", c.content, c.limit, tokens, reason, c.tokens, c.reason)
		}
	}
}
