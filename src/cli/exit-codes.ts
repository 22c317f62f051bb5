/** Exit codes of the commands, as listed in docs/operators/day-to-day.md. */
import { CyclamenError } from '../core/errors/index.ts'
import type { ErrorName } from '../core/errors/index.ts'

export const exitCodes = {
  ok: 0,
  unexpected: 1,
  usage: 2,
  invalidFile: 3,
  conflict: 4,
  refused: 5,
  outcomeUnknown: 6,
  unreachable: 7,
  takenBack: 8
} as const

/** Meaning of each exit code, for the generated operators' pages. */
export const exitCodeTexts: Record<keyof typeof exitCodes, string> = {
  ok: 'the command succeeded',
  unexpected: 'an error that no other code covers',
  usage: 'an unknown command, flag or argument',
  invalidFile: 'a settings file, a template, a team or a parameter is invalid',
  conflict: 'another operator changed the same declaration first',
  refused: 'the request was refused and not executed',
  outcomeUnknown: 'it is unknown whether the request was executed',
  unreachable: 'no node or key-value service responded; nothing was executed',
  takenBack: 'the version move was taken back'
}

const exitCodeNames: Partial<Record<ErrorName, keyof typeof exitCodes>> = {
  CommandUnknown: 'usage',
  FlagUnknown: 'usage',
  ArgumentWrong: 'usage',
  SettingsInvalid: 'invalidFile',
  ValueTooLarge: 'invalidFile',
  MoveConflict: 'conflict',
  DeclarationConflict: 'conflict',
  QuarantineConflict: 'conflict',
  TeamUnknown: 'usage',
  KeyValueUnavailable: 'unreachable',
  KeyValueAmbiguous: 'outcomeUnknown',
  KeyValueRejected: 'refused',
  RequestRefused: 'refused',
  AnswerRefused: 'refused',
  NodesUnreachable: 'unreachable'
}

/** The field `run` of an error, which says whether the request was executed; undefined when the error has none. */
function runStateOf (error: CyclamenError): unknown {
  return (error.params as { run?: unknown }).run
}

export function exitCodeOf (error: unknown): number {
  if (!(error instanceof CyclamenError)) return exitCodes.unexpected
  if (runStateOf(error) === 'unknown') return exitCodes.outcomeUnknown
  const kind: ErrorName = error.kind
  return exitCodes[exitCodeNames[kind] ?? 'unexpected']
}
