// Package sheet is the group of subcommands that read, check and edit the configuration table.
package sheet
