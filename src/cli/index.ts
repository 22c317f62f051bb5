/** The command line. */

/** Runs one command. */
export async function run (argv: string[]): Promise<void> {
  process.stdout.write(`cyclamenshunt ${argv.join(' ')}\n`)
}
