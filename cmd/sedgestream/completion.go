package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// completionCommand prints a completion script.
type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"One of ${enum}."`
}

func (completionCommand) Help() string { return "Example:\n\n    . <(sedgestream completion bash)" }

// Run prints a completion script with the subcommands and flags of each command.
func (c *completionCommand) Run(k *kong.Kong) error {
	prologue := fmt.Sprintf(bashPrologue, strings.Join(commandNames(k.Model.Node), "|"))
	switch c.Shell {
	case "zsh":
		prologue = "autoload -U +X bashcompinit && bashcompinit\n" + prologue
	case "fish":
		prologue = fishPrologue
	}
	fmt.Fprintln(k.Stdout, prologue)
	walkCommands(k.Model.Node, nil, func(path, names []string) {
		if c.Shell == "fish" {
			fmt.Fprintf(k.Stdout, "complete -c sedgestream -f -n '__sedgestream_at %s' -a '%s'\n", fishPath(path), strings.Join(names, " "))
		} else {
			fmt.Fprintf(k.Stdout, "    %q) words=%q ;;\n", strings.Join(path, " "), strings.Join(names, " "))
		}
	})
	if c.Shell != "fish" {
		fmt.Fprintln(k.Stdout, bashEpilogue)
	}
	return nil
}

// commandNames returns the names of all commands and subcommands, sorted.
func commandNames(root *kong.Node) []string {
	names := map[string]bool{}
	walkCommands(root, nil, func(path, _ []string) {
		if len(path) > 0 {
			names[path[len(path)-1]] = true
		}
	})
	return slices.Sorted(maps.Keys(names))
}

// fishPath joins the names of a command for the fish script, where the empty path needs quotes.
func fishPath(path []string) string {
	if len(path) == 0 {
		return "''"
	}
	return strings.Join(path, " ")
}

// walkCommands calls emit with the path of each command, and with its subcommands and flags.
func walkCommands(n *kong.Node, path []string, emit func(path, names []string)) {
	var names []string
	for _, child := range n.Children {
		if !child.Hidden {
			names = append(names, child.Name)
		}
	}
	for _, group := range n.AllFlags(true) {
		for _, f := range group {
			names = append(names, "--"+f.Name)
		}
	}
	emit(path, names)
	for _, child := range n.Children {
		walkCommands(child, append(path[:len(path):len(path)], child.Name), emit)
	}
}

// bashPrologue finds the command that is being completed. It has a place for the names of all commands.
const bashPrologue = `_sedgestream() {
    local at="" w words
    for w in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case "$w" in -*) ;; %s) at="${at:+$at }$w" ;; esac
    done
    case "$at" in`

const bashEpilogue = `    esac
    if [[ ${COMP_WORDS[COMP_CWORD]} == -* || -z $(compgen -f -- "${COMP_WORDS[COMP_CWORD]}") ]]; then
        COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
    else
        COMPREPLY=($(compgen -W "$words" -f -- "${COMP_WORDS[COMP_CWORD]}"))
    fi
}
complete -F _sedgestream sedgestream`

const fishPrologue = `function __sedgestream_at
    set -l have (string match -v -- '-*' (commandline -opc)[2..-1])
    test "$have" = "$argv"
end`
