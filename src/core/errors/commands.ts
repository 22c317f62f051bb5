import { defineError } from './types.ts'

/** Errors of the command line and of the client that it uses. */
export const commandErrors = {
  CommandUnknown: defineError<{ given: string, nearest: string | undefined }>({
    title: 'Unknown command',
    message: ({ given, nearest }) => nearest === undefined
      ? `There is no command "${given}".`
      : `There is no command "${given}"; did you mean "${nearest}"?`,
    hint: 'Run "cyclamenshunt help" for a list of commands.'
  }),
  FlagUnknown: defineError<{ given: string, nearest: string | undefined, command: string }>({
    title: 'Unknown flag',
    message: ({ given, nearest, command }) => nearest === undefined
      ? `"${command}" has no flag "${given}".`
      : `"${command}" has no flag "${given}"; did you mean "${nearest}"?`,
    hint: 'Run the command with --help for a list of its flags.'
  }),
  ArgumentWrong: defineError<{ argument: string, problem: string }>({
    title: 'Invalid argument',
    message: ({ argument, problem }) => `${argument} ${problem}.`,
    hint: 'Run the command with --help for examples.'
  }),
  DeclarationConflict: defineError<{ conflicts: string[] }>({
    title: 'Conflicting change',
    message: ({ conflicts }) => `Nothing was written because another change was written first:\n${conflicts.join('\n')}\n`,
    hint: 'Review the other change with "cyclamenshunt get", then repeat your change if it is still needed.'
  }),
  QuarantineConflict: defineError<{ part: string }>({
    title: 'Conflicting change of the quarantine',
    message: ({ part }) => `The quarantine of ${part} was not lifted, because the records changed meanwhile.`,
    hint: 'Run the command again.'
  }),
  DeclarationUnknown: defineError<{ writeId: string, run: string }>({
    title: 'Outcome of the write unknown',
    message: ({ writeId }) => `The key-value service did not respond; write "${writeId}" may or may not have been applied.`,
    hint: 'Run the same command again when the service responds; it changes nothing if the write was applied.'
  }),
  TeamUnknown: defineError<{ team: string, nearest: string | undefined }>({
    title: 'Unknown team',
    message: ({ team, nearest }) => nearest === undefined
      ? `No team "${team}" is declared.`
      : `No team "${team}" is declared; did you mean "${nearest}"?`,
    hint: 'Run "cyclamenshunt get" for a list of teams.'
  }),
  ListenFailed: defineError<{ cause: string }>({
    title: 'Address not available',
    message: ({ cause }) => `The node can't listen on its address: ${cause}.`,
    hint: 'Check "callers" and "peers" in the settings, and whether another process uses the port.'
  }),
  AnswerRefused: defineError<{ status: number, reason: string, run: string, detail: string, retryAtMs: number | undefined }>({
    title: 'Request refused by the node',
    message: ({ status, reason, run, detail }) => `The node refused the request (status ${status}, reason ${reason}, run: ${run}): ${detail}`,
    hint: 'Run "cyclamenshunt explain" with the reason to see whether to send the request again; use the same key if you do.'
  }),
  NodesUnreachable: defineError<{ urls: string[], cause: string, run: string }>({
    title: 'No node answered',
    message: ({ urls, cause, run }) => `No answer came from ${urls.join(', ')} (run: ${run}): ${cause}.`,
    hint: 'Check the addresses and the network. It is safe to repeat the request with the same key.'
  })
}
