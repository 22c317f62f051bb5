/** Generates the shell completion script. */

/** Completions of one command. */
export interface CompletionCommand {
  /** The command's words separated by spaces, such as `moves list`. */
  words: string
  /** Flags including their leading dashes. */
  flags: string[]
}

/** Renders the script for bash. zsh can source it after `bashcompinit`. */
export function renderCompletion (commands: readonly CompletionCommand[]): string {
  const firstWords = [...new Set([...commands.map(({ words }) => words.split(' ')[0]), 'help'])].sort()
  const renderFlagCase = ({ words, flags }: CompletionCommand): string =>
    `    "${words}") COMPREPLY=($(compgen -W "${flags.join(' ')}" -- "$current")) ;;`
  const twoWordCommands = commands
    .filter(({ words }) => words.includes(' '))
    .map(({ words }) => words.split(' '))
  const topics = [...new Set(twoWordCommands.map(([topic]) => topic))]
  const topicCases = topics.map(topic => {
    const secondWords = twoWordCommands.filter(([other]) => other === topic).map(([, word]) => word)
    return `      ${topic}) COMPREPLY=($(compgen -W "${secondWords.join(' ')}" -- "$current")); return ;;`
  })
  return [
    '_cyclamenshunt () {',
    // Split so that it isn't a JavaScript template; the shell expands the variable.
    '  local current="$' + '{COMP_WORDS[COMP_CWORD]}"',
    '  if [ "$COMP_CWORD" -eq 1 ]; then',
    `    COMPREPLY=($(compgen -W "${firstWords.join(' ')}" -- "$current"))`,
    '    return',
    '  fi',
    ...(topicCases.length === 0
      ? []
      : ['  if [ "$COMP_CWORD" -eq 2 ]; then', '    case "$' + '{COMP_WORDS[1]}" in', ...topicCases, '    esac', '  fi']),
    '  if [[ "$current" != -* ]]; then',
    '    COMPREPLY=($(compgen -f -- "$current"))',
    '    return',
    '  fi',
    '  local one="$' + '{COMP_WORDS[1]}" two="$' + '{COMP_WORDS[1]} $' + '{COMP_WORDS[2]}"',
    '  case "$one" in',
    ...commands.filter(({ words }) => !words.includes(' ')).map(renderFlagCase),
    '  esac',
    '  case "$two" in',
    ...commands.filter(({ words }) => words.includes(' ')).map(renderFlagCase),
    '  esac',
    '}',
    'complete -o filenames -F _cyclamenshunt cyclamenshunt'
  ].join('\n') + '\n'
}
