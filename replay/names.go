package replay

import (
	"slices"

	"basilstall.example/basilstall/standin"
)

// sortedNames returns the sorted keys of one of a report's maps.
func sortedNames(groups any) []string {
	var names []string
	switch m := groups.(type) {
	case map[string]*Group:
		for name := range m {
			names = append(names, name)
		}
	case map[string]standin.PoolUsage:
		for name := range m {
			names = append(names, name)
		}
	case map[string]int:
		for name := range m {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
