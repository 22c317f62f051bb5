/** Writes what happens in a case to `record.txt` in its folder, each line with the seconds since the start. */
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'

export function createRecord (folder) {
  const startedAtMs = Date.now()
  const file = createWriteStream(join(folder, 'record.txt'))
  return {
    record: text => { file.write(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} ${text}\n`) },
    close: () => new Promise(resolve => file.end(resolve))
  }
}
