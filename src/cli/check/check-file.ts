/** Checks one file by what it is. */
import { loadSettings, peerKeyVariable } from '../../core/settings/index.ts'

/** A file with what is wrong with it. */
export interface CheckedFile {
  file: string
  problems: string[]
}

/** Stands for the secret while a file is checked on a machine that doesn't have it. */
const placeholderKey = 'x'.repeat(64)

/** Checks a file; a peer key that is given by the environment need not be there. */
export async function checkFile (file: string): Promise<CheckedFile> {
  const result = await loadSettings(file, { [peerKeyVariable]: process.env[peerKeyVariable] ?? placeholderKey })
  return { file, problems: result.isErr ? result.error.params.problems : [] }
}
