/**
 * The catalogue of all errors. Errors are created by their name here, and each
 * message ends with a hint on what to do.
 */
import { platformErrors } from './platform.ts'
import { requestErrors } from './requests.ts'
import { settingsErrors } from './settings.ts'
import { callErrors } from './calls.ts'
import { moveErrors } from './moves.ts'
import { peerErrors } from './peers.ts'
import { commandErrors } from './commands.ts'

export type { ErrorDefinition } from './types.ts'

export const errorCatalogue = {
  ...platformErrors,
  ...requestErrors,
  ...settingsErrors,
  ...callErrors,
  ...moveErrors,
  ...peerErrors,
  ...commandErrors
} as const

/** Name of an error kind. */
export type ErrorName = keyof typeof errorCatalogue

/** Parameters of an error kind's message. */
export type ErrorParams<Name extends ErrorName> = Parameters<(typeof errorCatalogue)[Name]['message']>[0]

/** An error of the catalogue. `kind` is its name in the catalogue, `message` ends with `hint`. */
export class CyclamenError<Name extends ErrorName = ErrorName> extends Error {
  readonly kind: Name
  readonly title: string
  readonly hint: string
  readonly params: ErrorParams<Name>

  constructor (kind: Name, params: ErrorParams<Name>, options: ErrorOptions = {}) {
    const definition = errorCatalogue[kind]
    const message = definition.message as (params: ErrorParams<Name>) => string
    super(`${message(params)} ${definition.hint}`, options)
    this.name = kind
    this.kind = kind
    this.title = definition.title
    this.hint = definition.hint
    this.params = params
  }
}

/** Creates an error of the given kind. */
export function createError<Name extends ErrorName> (
  kind: Name,
  params: ErrorParams<Name>,
  options: ErrorOptions = {}
): CyclamenError<Name> {
  return new CyclamenError(kind, params, options)
}

/** Whether a caught value is an error of the given kind. */
export function isErrorOf<Name extends ErrorName> (error: unknown, kind: Name): error is CyclamenError<Name> {
  return error instanceof CyclamenError && error.kind === kind
}
