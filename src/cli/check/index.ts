import { Args } from '@oclif/core'
import { createError } from '../../core/errors/index.ts'
import { BaseCommand } from '../base-command.ts'
import { checkFile } from './check-file.ts'
import type { CheckedFile } from './check-file.ts'

/** Checks files without touching anything. */
export default class Check extends BaseCommand {
  static override summary = 'Check settings files without touching anything.'
  static override description = 'All problems of all files are told at once, each with its file, line, column, field and remedy. ' +
    'Exit codes: 0 no problem, 2 usage, 3 problems.'

  static override strict = false
  static override examples = [
    '<%= config.bin %> check node.yaml',
    '<%= config.bin %> check examples/association/node-attica-1.yaml examples/bennani/node-casablanca-1.yaml --json'
  ]

  static override enableJsonFlag = true
  static override args = {
    file: Args.string({ description: 'File to check; several may be given.', required: true })
  }

  async run (): Promise<{ files: CheckedFile[] }> {
    const { argv } = await this.parse(Check)
    const files = await Promise.all((argv as string[]).map(checkFile))
    for (const { file, problems } of files) {
      if (problems.length === 0) this.log(`${file}: no problem`)
    }
    const broken = files.filter(({ problems }) => problems.length > 0)
    if (broken.length > 0) {
      throw createError('SettingsInvalid', { file: broken.map(({ file }) => file).join(', '), problems: broken.flatMap(({ problems }) => problems) })
    }
    return { files }
  }
}
