package forward

import "strings"

// maxPromptParts bounds how many parts of one prompt are considered.
const maxPromptParts = 64

// maxPartIDBytes is the length to which the ID of a part is cut.
const maxPartIDBytes = 64

// parsePromptParts returns the IDs of the prompt's parts in their order, from a
// header value "ID:TOKENS,ID:TOKENS". IDs are hexadecimal, so case is ignored.
// Elements without an ID are skipped.
func parsePromptParts(value string) []string {
	var ids []string
	for element := range strings.SplitSeq(value, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(element), ":")
		if id == "" {
			continue
		}
		if len(ids) == maxPromptParts {
			break
		}
		ids = append(ids, strings.ToLower(id[:min(len(id), maxPartIDBytes)]))
	}
	return ids
}
