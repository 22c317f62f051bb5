/** Base class of all commands: error handling, exit codes and JSON output. */
import { Command, Errors } from '@oclif/core'
import type { Result } from 'true-myth'
import { CyclamenError, createError } from '../core/errors/index.ts'
import { findNearestName } from '../core/nearest/index.ts'
import { exitCodeOf } from './exit-codes.ts'

/** oclif's parser error for unknown flags. */
interface UnknownFlagsError extends Error {
  flags: string[]
}

function isUnknownFlags (error: unknown): error is UnknownFlagsError {
  return error instanceof Error && error.constructor.name === 'NonExistentFlagsError'
}

/** Base of all commands. oclif requires classes; each command only parses its input and calls plain functions. */
export abstract class BaseCommand extends Command {
  /** Returns the value of a result, or throws its error, which ends the command. */
  protected unwrap<Value> (result: Result<Value, Error>): Value {
    if (result.isErr) throw result.error
    return result.value
  }

  /** Replaces oclif's error for an unknown flag by one that suggests the nearest flag, and prints errors as JSON with `--json`. */
  protected override async catch (originalError: Error): Promise<void> {
    const error = isUnknownFlags(originalError) ? this.createUnknownFlagError(originalError) : originalError
    if (!this.jsonEnabled()) throw error
    this.logJson(this.toErrorJson(error))
    process.exitCode = error instanceof Errors.CLIError ? error.oclif.exit ?? 2 : exitCodeOf(error)
  }

  protected override toErrorJson (error: unknown): unknown {
    if (error instanceof CyclamenError) {
      const { kind, title, message, hint, params } = error
      return { error: { kind, title, message, hint, ...(params as object) } }
    }
    return { error: { message: error instanceof Error ? error.message : String(error) } }
  }

  private createUnknownFlagError (error: UnknownFlagsError): Error {
    const given = error.flags[0] ?? ''
    const known = Object.keys({ ...this.ctor.flags, help: true, ...(this.ctor.enableJsonFlag ? { json: true } : {}) }).map(name => `--${name}`)
    const command = (this.id ?? '').replaceAll(':', ' ')
    return createError('FlagUnknown', { given, nearest: findNearestName(given, known), command })
  }
}
