import {Result} from 'true-myth';
import {ACCESS_CODES, MeshError} from '@verbenabeam/core';
import type {Command} from '../command.js';

/** `verbenabeam completion SHELL` */
export function completionCommand(names: readonly string[]): Command {
  const words = names.join(' ');
  const scripts: Readonly<Record<string, string>> = {
    bash: `complete -W "${words}" verbenabeam`,
    zsh: `compdef '_arguments "1: :(${words})" "*:file:_files"' verbenabeam`,
    fish: `complete -c verbenabeam -n __fish_use_subcommand -a "${words}"`,
  };
  return {
    usage: 'completion <shell>',
    text: 'Print a completion script for bash, zsh or fish',
    options: [],
    run({args}) {
      const script = scripts[args[0] ?? ''];
      if (script === undefined) {
        const known = Object.keys(scripts).join(', ');
        return Promise.resolve(
          Result.err(
            new MeshError(
              ACCESS_CODES.badRequest,
              `no completion for shell "${args[0] ?? ''}"; known: ${known}`,
            ),
          ),
        );
      }
      return Promise.resolve(Result.ok({data: {script}, lines: [script]}));
    },
  };
}
