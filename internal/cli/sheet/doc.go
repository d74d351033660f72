// Package sheet implements the subcommands that read, check and edit the configuration table.
package sheet
