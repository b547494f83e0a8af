package bootstrap

import "fmt"

// maxSuggestLength bounds the words that are compared, in bytes.
const maxSuggestLength = 64

// ClosestWord returns the known word that is most like word, or "" if none is like it.
func ClosestWord(word string, known []string) string {
	closest, least := "", len(word)/2+1
	for _, candidate := range known {
		if distance := editDistance(word, candidate); distance < least {
			closest, least = candidate, distance
		}
	}
	return closest
}

// didYouMean returns the end of a fault's message that suggests a known word, or "".
func didYouMean(word string, known []string) string {
	if closest := ClosestWord(word, known); closest != "" {
		return fmt.Sprintf(" (did you mean %s?)", closest)
	}
	return ""
}

// editDistance counts the letters to insert, delete, change or swap that make one word of the other.
func editDistance(source, target string) int {
	if len(source) > maxSuggestLength || len(target) > maxSuggestLength {
		return maxSuggestLength
	}
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
