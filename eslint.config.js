// Lint rules: typescript-eslint strict and stylistic, naming conventions, and allowed imports between packages.
import { readFileSync } from 'node:fs';
import tseslint from 'typescript-eslint';

const verbs = JSON.parse(readFileSync(new URL('scripts/verbs.json', import.meta.url), 'utf8'));
const verbPattern = `^(${verbs.join('|')})([A-Z0-9].*)?$`;

/** The packages that each package may import. */
const allowedImports = {
	core: [],
	keyvalue: ['core'],
	targets: ['core'],
	gateway: ['core'],
	peers: ['core'],
	callers: ['core'],
	operators: ['core'],
	'stand-ins': ['core'],
	replay: ['core'],
	router: ['core', 'keyvalue', 'targets', 'peers', 'callers', 'operators'],
	cli: ['core', 'keyvalue', 'targets', 'peers', 'callers', 'operators', 'router', 'stand-ins', 'replay'],
};

const enumRule = [
	'error',
	{ selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
	{ selector: 'ExportDefaultDeclaration', message: 'Use a named export.' },
];

function forbiddenPackages(name, extra) {
	const allowed = new Set([...allowedImports[name], ...extra, name]);
	return Object.keys(allowedImports)
		.filter((other) => !allowed.has(other))
		.map((other) => `@papayawell/${other}`);
}

function restrictImports(files, name, extra, pure) {
	const patterns = [{ group: ['@papayawell/*/*'], message: 'Import a package through its index.' }];
	const forbidden = forbiddenPackages(name, extra);
	if (forbidden.length > 0) {
		patterns.push({ group: forbidden, message: 'This import goes against the layers of the packages.' });
	}
	if (pure) {
		patterns.push({
			group: ['node:*', 'undici', '@grpc/*', '**/node/**', 'roarr', 'prom-client'],
			message: 'The common layer is pure: no sockets, files or timers.',
		});
	}
	return { files, rules: { '@typescript-eslint/no-restricted-imports': ['error', { patterns }] } };
}

const directions = Object.keys(allowedImports).flatMap((name) => [
	restrictImports([`packages/${name}/src/**/*.ts`], name, [], false),
	restrictImports([`packages/${name}/src/common/**/*.ts`], name, [], true),
	restrictImports([`packages/${name}/test/**/*.ts`], name, ['stand-ins'], false),
]);

const adapterImports = {
	files: ['platform/**/*.ts'],
	rules: {
		'@typescript-eslint/no-restricted-imports': [
			'error',
			{
				patterns: [
					{
						group: [
							...forbiddenPackages('gateway', []).filter((name) => name !== '@papayawell/core'),
							'@papayawell/*/*',
						],
						message: 'The adapter knows the gateway only.',
					},
				],
			},
		],
	},
};

export default tseslint.config(
	{ ignores: ['**/dist/**', '**/generated/**', 'node_modules/**', '**/*.js', '**/*.mjs'] },
	...tseslint.configs.strictTypeChecked,
	...tseslint.configs.stylisticTypeChecked,
	{
		languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
		rules: {
			curly: ['error', 'all'],
			eqeqeq: 'error',
			'no-restricted-syntax': enumRule,
			'@typescript-eslint/restrict-template-expressions': [
				'error',
				{ allowNumber: true, allowBoolean: true },
			],
			'@typescript-eslint/explicit-member-accessibility': [
				'error',
				{ overrides: { constructors: 'no-public' } },
			],
			'@typescript-eslint/switch-exhaustiveness-check': 'error',
			'@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
			'@typescript-eslint/consistent-type-imports': 'error',
			'@typescript-eslint/prefer-readonly': 'error',
			'@typescript-eslint/naming-convention': [
				'error',
				{ selector: 'typeLike', format: ['PascalCase'] },
				{
					selector: ['function', 'classMethod'],
					filter: { regex: '^(event|execute)$', match: false },
					format: ['camelCase'],
					custom: { regex: verbPattern, match: true },
				},
				{
					selector: ['classProperty', 'parameterProperty'],
					modifiers: ['private'],
					format: ['camelCase'],
					leadingUnderscore: 'forbid',
				},
			],
		},
	},
	{
		files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off',
			'@typescript-eslint/no-non-null-assertion': 'off',
		},
	},
	...directions,
	adapterImports,
);
