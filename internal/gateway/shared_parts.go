package gateway

import (
	"strconv"
	"strings"
)

// maxLoggedParts bounds the parts in a log line.
const maxLoggedParts = 64

// sharedParts returns the identifiers of the parts that other prompts may contain too:
// all but the last one, which belongs to the request or its session.
func sharedParts(parts []PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	ids := make([]uint64, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

// formatPartIDs returns identifiers in the notation of callers, at most maxLoggedParts.
func formatPartIDs(ids []uint64) string {
	var texts []string
	for _, id := range ids[:min(len(ids), maxLoggedParts)] {
		texts = append(texts, strconv.FormatUint(id, 16))
	}
	return strings.Join(texts, ",")
}
