/** Parses the options of a stand-in from the command line. */
import type { Result } from 'true-myth'
import { z } from 'zod'
import type { CyclamenError } from '../../core/errors/index.ts'
import { parseYaml } from '../../core/settings/index.ts'

const optionsSchema = z.record(z.string(), z.unknown())

/** Parses a YAML map. Names aren't checked: a stand-in ignores options that it doesn't know. */
export function readStandInOptions (text: string): Result<Record<string, unknown>, CyclamenError<'SettingsInvalid'>> {
  return parseYaml(optionsSchema, text, '--options')
}
