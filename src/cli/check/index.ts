import { Args } from '@oclif/core'
import { createError } from '../../core/errors/index.ts'
import { BaseCommand } from '../base-command.ts'
import { readSourceFiles } from '../source-files.ts'
import { checkSources } from './check-sources.ts'
import type { SourceCheckResult } from './check-sources.ts'

/** Validates files without connecting to any service. */
export default class Check extends BaseCommand {
  static override summary = 'Check settings, templates and teams without changing anything.'
  static override description = 'Reports all problems of all files at once, each with its file, line, column, field and remedy. ' +
    'Include the templates that the checked teams use. Exit codes: 0 no problems, 2 usage, 3 problems found.'

  static override strict = false
  static override examples = [
    '<%= config.bin %> check node.yaml',
    '<%= config.bin %> check examples/association',
    '<%= config.bin %> check templates teams --json'
  ]

  static override enableJsonFlag = true
  static override args = {
    file: Args.string({ description: 'File or folder to check; can be given several times.', required: true })
  }

  async run (): Promise<SourceCheckResult> {
    const { argv } = await this.parse(Check)
    const checked = await checkSources(await readSourceFiles(argv as string[]))
    const { files, problems } = checked
    if (problems.length > 0) throw createError('SettingsInvalid', { file: `${files.length} file(s)`, problems })
    this.log(`No problems in ${files.length} file(s).`)
    return checked
  }
}
