/** Validates files by their type: templates and teams together, since they refer to each other, and each node's settings alone. */
import { parse } from 'yaml'
import { parseNodeSettings, peerKeyEnvVar } from '../../core/settings/index.ts'
import { checkFiles } from '../../core/templates/index.ts'
import type { SourceFile } from '../../core/templates/index.ts'

/** All problems found, each with its file, line, column, field and remedy. */
export interface SourceCheckResult {
  files: string[]
  problems: string[]
}

/** Used as the peer key when the environment doesn't provide one, so that settings can be checked without the secret. */
const placeholderPeerKey = 'x'.repeat(64)

/** Whether a file declares a template or a team. Node settings have no field "kind". */
function isDeclaration ({ text }: SourceFile): boolean {
  try {
    const value: unknown = parse(text)
    return typeof value === 'object' && value !== null && 'kind' in value
  } catch {
    // Both checks report invalid YAML, so a guess from the text is enough here.
    return /^kind:/m.test(text)
  }
}

async function checkSettings ({ file, text }: SourceFile): Promise<string[]> {
  const result = await parseNodeSettings(text, file, { [peerKeyEnvVar]: process.env[peerKeyEnvVar] ?? placeholderPeerKey })
  return result.isErr ? result.error.params.problems : []
}

/** Validates files. The environment variable for the peer key need not be set. */
export async function checkSources (sources: readonly SourceFile[]): Promise<SourceCheckResult> {
  const declarations = sources.filter(isDeclaration)
  const settings = sources.filter(source => !declarations.includes(source))
  const checked = checkFiles(declarations)
  const problems = [
    ...(checked.isErr ? checked.error.params.problems : []),
    ...(await Promise.all(settings.map(checkSettings))).flat()
  ]
  return { files: sources.map(({ file }) => file), problems }
}
