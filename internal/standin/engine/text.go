package engine

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirehatch/sapphirehatch/internal/engineapi"
	"github.com/sapphirehatch/sapphirehatch/internal/failure"
)

const (
	// tokenLetters is the number of letters of a token; a space follows them.
	tokenLetters = 4
	// medianTokens is the median length of a generation, in tokens.
	medianTokens = 48
	lengthSpread = 0.7 // standard deviation of the length's natural logarithm
	// One in stragglerOneIn generations is longer by the factor stragglerRatio.
	stragglerOneIn = 64
	stragglerRatio = 10
	// DefaultMaxTokens bounds a generation if the request does not set max_tokens.
	DefaultMaxTokens = 4096
	// promptTokenBytes is the length of a prompt token, in bytes.
	promptTokenBytes = 4
	// LengthMark followed by a number in the last message of a prompt sets the length of the generation, in tokens.
	LengthMark = "#tokens="
)

// Generation returns a hash of the prompt and the seed, which together determine the generated text.
func Generation(messages []engineapi.Message, seed int64) uint64 {
	digest := xxhash.New()
	for _, m := range messages {
		_, _ = digest.WriteString(m.Role)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.WriteString(m.Content)
		_, _ = digest.Write([]byte{0})
	}
	var tail [8]byte
	binary.LittleEndian.PutUint64(tail[:], uint64(seed))
	_, _ = digest.Write(tail[:])
	return digest.Sum64()
}

// GenerationID returns Generation in hexadecimal, as in the execution log.
func GenerationID(messages []engineapi.Message, seed int64) string {
	return strconv.FormatUint(Generation(messages, seed), 16)
}

// ExpectedText returns the tokens of a generation at positions from to to,
// exclusive. Token 0 is the seed, from which CheckText recovers it.
func ExpectedText(messages []engineapi.Message, seed int64, from, to int) string {
	return tokensOf(Generation(messages, seed), seed, from, to)
}

// tokensOf is ExpectedText for a given result of Generation.
func tokensOf(generation uint64, seed int64, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		if i == 0 {
			text.WriteString(strconv.FormatInt(seed, 10))
		} else {
			writeToken(&text, mix(generation+uint64(i)))
		}
		text.WriteByte(' ')
	}
	return text.String()
}

// writeToken writes the letters that a hash determines.
func writeToken(text *strings.Builder, hash uint64) {
	const letters = 'z' - 'a' + 1
	for range tokenLetters {
		text.WriteByte(byte('a' + hash%letters))
		hash /= letters
	}
}

// mix is the SplitMix64 hash function. It spreads the bits of a counter over the whole word.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// ExpectedTokens returns the length of a generation, in tokens, and its finish
// reason. The length is at most maxTokens, or DefaultMaxTokens if that is zero.
// Lengths have a heavy tail: most are near the median, and a few are ten times
// longer. A LengthMark in the last message sets the length instead.
func ExpectedTokens(messages []engineapi.Message, seed int64, maxTokens int) (int, string) {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	tokens, marked := markedLength(messages)
	if !marked {
		tokens = randomLength(Generation(messages, seed))
	}
	if tokens > maxTokens {
		return maxTokens, engineapi.FinishLength
	}
	return tokens, engineapi.FinishStop
}

// markedLength returns the length after a LengthMark, and whether there is one.
func markedLength(messages []engineapi.Message) (int, bool) {
	if len(messages) == 0 {
		return 0, false
	}
	_, after, found := strings.Cut(messages[len(messages)-1].Content, LengthMark)
	if !found {
		return 0, false
	}
	end := strings.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(after)
	}
	n, err := strconv.Atoi(after[:end])
	return n, err == nil && n > 0
}

// randomLength returns the length of a generation without a LengthMark, in
// tokens. The hash of the generation determines it. Lengths have a log-normal
// distribution with a few stragglers.
func randomLength(generation uint64) int {
	first, second := unit(mix(generation)), unit(mix(generation^0xa5a5a5a5))
	normal := math.Sqrt(-2*math.Log(first)) * math.Cos(2*math.Pi*second)
	length := medianTokens * math.Exp(lengthSpread*normal)
	if mix(generation^0x5a5a5a5a)%stragglerOneIn == 0 {
		length *= stragglerRatio
	}
	return max(1, int(length))
}

// unit maps a hash to a number above 0 and not above 1.
func unit(hash uint64) float64 { return (float64(hash>>11) + 1) / (1 << 53) }

// SeedOf returns the seed of a generated text. The error is IncompleteAnswer if
// the text does not start with a seed.
func SeedOf(text string) (int64, error) {
	first, _, _ := strings.Cut(text, " ")
	seed, err := strconv.ParseInt(first, 10, 64)
	if err != nil {
		return 0, failure.Wrap(err, failure.IncompleteAnswer, "", "text does not start with its seed")
	}
	return seed, nil
}

// CheckText verifies that text is the complete generation of a prompt with at
// most maxTokens, and returns its number of tokens and its generation id. The
// error is IncompleteAnswer if the text differs.
func CheckText(messages []engineapi.Message, text string, maxTokens int) (tokens int, generation string, err error) {
	seed, err := SeedOf(text)
	if err != nil {
		return 0, "", err
	}
	tokens, _ = ExpectedTokens(messages, seed, maxTokens)
	if text != ExpectedText(messages, seed, 0, tokens) {
		return 0, "", failure.New(failure.IncompleteAnswer, "", "text of %d bytes is not the whole generation of its prompt and seed %d", len(text), seed)
	}
	return tokens, GenerationID(messages, seed), nil
}

// promptTokens returns the length of a prompt, in tokens.
func promptTokens(messages []engineapi.Message) int {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	return (size + promptTokenBytes - 1) / promptTokenBytes
}
