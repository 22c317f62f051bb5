/** Entry of the binary. */
import { listenForDrainSignal } from './cli/serve/drain-signal.ts'

const argv = process.argv.slice(2)
// Before the other modules are loaded, because a signal without a listener ends the process.
if (argv[0] === 'serve') listenForDrainSignal()

import('./cli/index.ts').then(async ({ run }) => await run(argv)).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = 1
})
