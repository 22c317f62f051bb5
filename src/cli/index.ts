/** Entry point of the command line: finds the command, runs it and reports errors. */
import { Help, handle } from '@oclif/core'
import type { Config } from '@oclif/core'
import { normalizeArgv } from '@oclif/core/help'
import { CyclamenError, createError } from '../core/errors/index.ts'
import { findNearestName } from '../core/nearest/index.ts'
import { commands, topics } from './commands.ts'
import { exitCodeOf } from './exit-codes.ts'
import { createProgram } from './program.ts'

const helpFlags = new Set(['--help', '-h'])

function wantsHelp (argv: readonly string[]): boolean {
  const end = argv.indexOf('--')
  const beforeSeparator = end === -1 ? argv : argv.slice(0, end)
  return beforeSeparator.length === 0 || beforeSeparator[0] === 'help' || beforeSeparator.some(argument => helpFlags.has(argument))
}

/** Creates the error for an unknown command, with the nearest known command as a suggestion. */
function createUnknownCommandError (words: readonly string[]): CyclamenError {
  const known = Object.keys(commands).map(id => id.replaceAll(':', ' '))
  const given = words.length > 1 && words[0]! in topics ? words.slice(0, 2).join(' ') : words[0] ?? ''
  return createError('CommandUnknown', { given, nearest: findNearestName(given, [...known, 'help']) })
}

async function showHelp (config: Config, argv: string[]): Promise<void> {
  const words = argv.filter(word => word !== 'help' && !word.startsWith('-'))
  const [id] = normalizeArgv(config, words)
  const known = words.length === 0 || commands[id ?? ''] !== undefined || (words.length === 1 && words[0]! in topics)
  const startsWithCommand = words[0] !== undefined && commands[words[0]] !== undefined
  if (!known && !startsWithCommand) throw createUnknownCommandError(words)
  await new Help(config, { all: true }).showHelp(words)
}

async function dispatch (config: Config, argv: string[]): Promise<void> {
  if (argv[0] === '--version') {
    process.stdout.write(`${config.userAgent}\n`)
    return
  }
  if (wantsHelp(argv)) return await showHelp(config, argv)
  const [id = '', ...rest] = normalizeArgv(config, argv)
  const command = commands[id]
  if (command !== undefined) {
    await command.run(rest, config)
  } else if (argv.length === 1 && argv[0]! in topics) {
    await showHelp(config, argv)
  } else {
    throw createUnknownCommandError(argv)
  }
}

/** Runs one command line. Errors are printed as a message without a stack trace and set the exit code. */
export async function run (argv: string[]): Promise<void> {
  try {
    await dispatch(await createProgram(), argv)
  } catch (error) {
    if (!(error instanceof CyclamenError)) return await handle(error as Error)
    process.stderr.write(`${error.title}: ${error.message}\n`)
    process.exitCode = exitCodeOf(error)
  }
}
