/** Writes all generated files of the repository; run by `npm run generate`. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { generatedFiles } from './pages/index.ts'

for (const [path, render] of Object.entries(generatedFiles)) {
  mkdirSync(dirname(path), { recursive: true })
  writeFileSync(path, render())
}
