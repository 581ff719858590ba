package cli_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cli"
)

// Guards against operations pages that name commands or flags that do not
// exist.
func TestOperationsPagesUseRealCommands(t *testing.T) {
	pages, err := filepath.Glob("../docs/operations/*.md")
	require.NoError(t, err)
	require.Len(t, pages, 7)
	found := 0
	for _, page := range pages {
		body, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, line := range strings.Split(string(body), "\n") {
			command, ok := strings.CutPrefix(strings.TrimSpace(line), "waxwingtide ")
			if !ok {
				continue
			}
			found++
			words := strings.Fields(command)
			cmd, _, err := cli.NewRoot().Find(words)
			require.NoError(t, err, line)
			require.False(t, cmd.HasSubCommands(), line)
			_ = cmd.InheritedFlags() // merges the flags of the parents
			for _, word := range words {
				if name, ok := strings.CutPrefix(word, "--"); ok {
					require.NotNil(t, cmd.Flag(name), line)
				}
			}
		}
	}
	require.Greater(t, found, 25)
}
