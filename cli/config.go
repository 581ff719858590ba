package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"waxwingtide.example/waxwingtide/settings"
)

// NewConfig returns the command that checks settings files.
func NewConfig() *cobra.Command {
	check := &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings files of the daemons",
		Example: "  waxwingtide config check /etc/waxwingtide/entry.yaml",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			for _, file := range files {
				program, err := settings.Check(file)
				if err != nil {
					return err
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid settings of %s\n", file, program); err != nil {
					return err
				}
			}
			return nil
		},
	}
	config := &cobra.Command{Use: "config", Short: "Work with settings files"}
	config.AddCommand(check)
	return config
}
