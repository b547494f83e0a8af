package bootstrap

import "fmt"

// maxComparedBytes is the largest size, in bytes, of words for which editDistance is computed.
const maxComparedBytes = 64

// ClosestWord returns the known word with the smallest edit distance to word, or "" if no distance is within half the length of
// word.
func ClosestWord(word string, known []string) string {
	closest, leastDistance := "", len(word)/2+1
	for _, candidate := range known {
		if distance := editDistance(word, candidate); distance < leastDistance {
			closest, leastDistance = candidate, distance
		}
	}
	return closest
}

// didYouMean returns the end of a message that suggests the closest known word, or "" if there is none.
func didYouMean(word string, known []string) string {
	if closest := ClosestWord(word, known); closest != "" {
		return fmt.Sprintf(" (did you mean %s?)", closest)
	}
	return ""
}

// editDistance returns the smallest number of edits that change source into target (optimal string alignment distance). An
// edit inserts, deletes or replaces a byte, or swaps two neighbouring ones. If a word is longer than maxComparedBytes,
// maxComparedBytes is returned.
func editDistance(source, target string) int {
	if len(source) > maxComparedBytes || len(target) > maxComparedBytes {
		return maxComparedBytes
	}
	// rows[i][j] is the distance from the first i bytes of source to the first j bytes of target.
	rows := make([][]int, len(source)+1)
	for i := range rows {
		rows[i] = make([]int, len(target)+1)
		rows[i][0] = i
	}
	for j := range target {
		rows[0][j+1] = j + 1
	}
	for i := 1; i <= len(source); i++ {
		for j := 1; j <= len(target); j++ {
			cost := 1
			if source[i-1] == target[j-1] {
				cost = 0
			}
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
			if i > 1 && j > 1 && source[i-1] == target[j-2] && source[i-2] == target[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(source)][len(target)]
}
